import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { HalfClosedCaller } from "./halfClosedCaller.js";

const CHECK_INTERVAL_MS = 20;

/**
 * Tells callers that have closed their sending side from those that have closed their connection: both look the same until
 * something is written.
 */
export class HalfClosedCallers {
    readonly #getNow: () => number;
    readonly #callers = new Map<Socket, HalfClosedCaller>();
    /** Monotonic time in milliseconds of the last check. */
    #checkedAt = 0;
    /** Set while there are callers. */
    #timer: NodeJS.Timeout | undefined;

    private constructor(getNow: () => number) {
        this.#getNow = getNow;
    }

    /** Creates a record of no callers. */
    static create(getNow: () => number): HalfClosedCallers {
        return new HalfClosedCallers(getNow);
    }

    /** Adds a caller that has closed its side; `getResponse` returns the response that is being sent to it, or is the next one. */
    add(socket: Socket, getResponse: () => ServerResponse | undefined): void {
        const closedAt = this.#getNow();
        this.#callers.set(socket, HalfClosedCaller.create({ socket, getResponse, closedAt }));
        socket.once("close", () => this.#callers.delete(socket));
        if (!this.#timer) {
            this.#checkedAt = closedAt;
            this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
        }
    }

    /** Returns whether the caller of a connection has closed its side. */
    has(socket: Socket): boolean {
        return this.#callers.has(socket);
    }

    /** Returns for how many milliseconds requests on a connection wait to be passed on, because their caller may be gone. */
    getWaitMs(socket: Socket): number {
        return Math.max(0, (this.#callers.get(socket)?.verdictAt ?? 0) - this.#getNow());
    }

    #check(): void {
        const now = this.#getNow();
        const delayMs = Math.max(0, now - this.#checkedAt - 2 * CHECK_INTERVAL_MS);
        this.#checkedAt = now;
        this.#callers.forEach(caller => caller.check(now, delayMs));
        if (this.#callers.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }
}
