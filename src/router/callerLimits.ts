import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { computeConnectionLimits } from "../core/routing/computeConnectionLimits.js";
import { RequestDrain } from "../shared/requestDrain.js";
import { CallerByteLimit } from "./callerByteLimit.js";
import { ConnectionLimit } from "./connectionLimit.js";
import type { LogSink } from "./logSink.js";

interface CallerLimitsOptions {
    readonly connectionLimits: ReturnType<typeof computeConnectionLimits>;
    readonly countTargetConnections: () => number;
    readonly getMaxBodyBytes: () => number;
    readonly log: Pick<LogSink, "write">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

const CHECK_INTERVAL_MS = 250;

/** Limits of callers' connections: their number, the bytes between two requests, and the time after a last response. */
export class CallerLimits {
    readonly #options: CallerLimitsOptions;
    readonly #byteLimit: CallerByteLimit;
    readonly #connectionLimit: ConnectionLimit;
    readonly #drain = RequestDrain.create();
    readonly #timer: NodeJS.Timeout;

    private constructor(options: CallerLimitsOptions) {
        this.#options = options;
        const { log, getMaxBodyBytes } = options;
        this.#byteLimit = CallerByteLimit.create({
            getMaxBodyBytes,
            onExceeded: () => log.write("caller-connection-failed", { reason: "bytes-without-end" }),
        });
        this.#connectionLimit = ConnectionLimit.create({
            ...options,
            ...options.connectionLimits,
            onChanged: (isReached, open) => log.write("connection-limit-changed", { isReached, open }),
            onClosed: open => log.write("caller-connection-failed", { reason: "connection-limit", open }),
        });
        this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    }

    /** Creates limits without connections. */
    static create(options: CallerLimitsOptions): CallerLimits {
        return new CallerLimits(options);
    }

    /** Open connections, and whether there are as many as may be served. */
    get connections(): Pick<ConnectionLimit, "openConnections" | "isReached"> {
        return this.#connectionLimit;
    }

    /** Adds a connection. */
    add(socket: Socket): void {
        this.#byteLimit.add(socket);
        this.#connectionLimit.add(socket);
    }

    /** Records that the head of a request has been read. Returns whether the request may be served. */
    recordRequest(socket: Socket): boolean {
        this.#byteLimit.recordRequest(socket);
        return !this.#connectionLimit.isSurplus(socket);
    }

    /** Ends a response without a body; if its connection closes after it, once the request has been read. */
    finish(response: ServerResponse): void {
        this.#drain.finish(response, this.#options.getNow());
    }

    /** Ends the responses that wait for the rest of their requests, because the process ends. */
    endRefused(): void {
        this.#drain.expire(Number.POSITIVE_INFINITY);
    }

    /** Stops checking; connections close elsewhere. */
    close(): void {
        clearInterval(this.#timer);
    }

    #check(): void {
        const now = this.#options.getNow();
        this.#byteLimit.check();
        this.#drain.expire(now);
        this.#connectionLimit.expire(now);
    }
}
