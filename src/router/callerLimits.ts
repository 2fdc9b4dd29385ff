import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { CallerByteLimit } from "./callerByteLimit.js";
import type { LogSink } from "./logSink.js";
import { RequestDrain } from "./requestDrain.js";

interface CallerLimitsOptions {
    readonly getMaxBodyBytes: () => number;
    readonly log: Pick<LogSink, "write">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

const CHECK_INTERVAL_MS = 250;

/** Limits of callers' connections: the bytes between two requests, and the time after a last response. */
export class CallerLimits {
    readonly #options: CallerLimitsOptions;
    readonly #byteLimit: CallerByteLimit;
    readonly #drain = RequestDrain.create();
    readonly #timer: NodeJS.Timeout;

    private constructor(options: CallerLimitsOptions) {
        this.#options = options;
        const { log, getMaxBodyBytes } = options;
        this.#byteLimit = CallerByteLimit.create({
            getMaxBodyBytes,
            onExceeded: () => log.write("caller-connection-failed", { reason: "bytes-without-end" }),
        });
        this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    }

    /** Creates limits without connections. */
    static create(options: CallerLimitsOptions): CallerLimits {
        return new CallerLimits(options);
    }

    /** Adds a connection. */
    add(socket: Socket): void {
        this.#byteLimit.add(socket);
    }

    /** Records that the head of a request has been read. */
    recordRequest(socket: Socket): void {
        this.#byteLimit.recordRequest(socket);
    }

    /** Ends a response without a body; if its connection closes after it, once the request has been read. */
    finish(response: ServerResponse): void {
        if (response.shouldKeepAlive || response.req.complete) {
            response.end();
            return;
        }
        this.#drain.add(response, this.#options.getNow());
    }

    /** Stops checking; connections close elsewhere. */
    close(): void {
        clearInterval(this.#timer);
    }

    #check(): void {
        this.#byteLimit.check();
        this.#drain.expire(this.#options.getNow());
    }
}
