import type { Socket } from "node:net";
import type { computeConnectionLimits } from "../core/routing/computeConnectionLimits.js";
import { UNREAD_REFUSAL } from "../shared/unreadRefusal.js";

interface ConnectionLimitOptions extends ReturnType<typeof computeConnectionLimits> {
    /** Counts the open connections to targets, which take descriptors, too. */
    readonly countTargetConnections: () => number;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Called when the limit is reached, and when connections are served again. */
    readonly onChanged: (isReached: boolean, open: number) => void;
    /** Called when a surplus connection is closed although no request of it has been refused. */
    readonly onClosed: (open: number) => void;
}

/** Time in which a surplus connection brings a request and its caller reads the refusal. */
const SURPLUS_MS = 5000;
/** A reached limit counts as left below this share of it, so that single connections do not change the state. */
const RECOVERED_SHARE = 0.95;

/** Tells which connections of callers are beyond what the process may serve, so that their requests are refused. */
export class ConnectionLimit {
    readonly #options: ConnectionLimitOptions;
    readonly #served = new Set<Socket>();
    /** Surplus connections with their deadlines in monotonic milliseconds. */
    readonly #surplus = new Map<Socket, number>();
    #isReached = false;

    private constructor(options: ConnectionLimitOptions) {
        this.#options = options;
    }

    /** Creates a limit without connections. */
    static create(options: ConnectionLimitOptions): ConnectionLimit {
        return new ConnectionLimit(options);
    }

    /** True from the first surplus connection until enough connections have closed. */
    get isReached(): boolean {
        return this.#isReached;
    }

    /** Number of open connections. */
    get openConnections(): number {
        return this.#served.size + this.#surplus.size;
    }

    /** Adds a connection, which counts until it closes. */
    add(socket: Socket): void {
        const { surplus, getNow, onClosed } = this.#options;
        if (this.#served.size < this.#countServable()) {
            this.#served.add(socket);
            socket.once("close", () => {
                this.#served.delete(socket);
                this.#recover();
            });
            return;
        }
        this.#setReached(true);
        if (this.#surplus.size >= surplus) {
            onClosed(this.openConnections);
            // Each further descriptor that stays open may be one that the next connection lacks.
            socket.end(UNREAD_REFUSAL, () => socket.destroy());
            return;
        }
        this.#surplus.set(socket, getNow() + SURPLUS_MS);
        socket.once("close", () => this.#surplus.delete(socket));
    }

    /** Returns whether the requests of a connection have to be refused. */
    isSurplus(socket: Socket): boolean {
        return this.#surplus.has(socket);
    }

    /** Closes the surplus connections that are open at their deadlines, and looks whether connections can be served again. */
    expire(now: number): void {
        // Connections to targets also leave descriptors when no caller's connection closes.
        this.#recover();
        for (const [socket, deadline] of this.#surplus) {
            if (deadline <= now) {
                this.#options.onClosed(this.openConnections);
                socket.destroy();
            }
        }
    }

    #countServable(): number {
        const { served, surplus, descriptors, countTargetConnections } = this.#options;
        return Math.min(served, descriptors - surplus - countTargetConnections());
    }

    #recover(): void {
        if (this.#served.size < this.#countServable() * RECOVERED_SHARE) {
            this.#setReached(false);
        }
    }

    #setReached(isReached: boolean): void {
        if (this.#isReached !== isReached) {
            this.#isReached = isReached;
            this.#options.onChanged(isReached, this.openConnections);
        }
    }
}
