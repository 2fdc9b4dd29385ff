import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { computeConnectionLimits } from "../core/routing/computeConnectionLimits.js";
import { CallerByteLimit } from "./callerByteLimit.js";
import { ConnectionLimit } from "./connectionLimit.js";
import type { LogSink } from "./logSink.js";
import type { RequestMemory } from "./requestMemory.js";
import { UnreadResponses } from "./unreadResponses.js";

interface CallerLimitsOptions {
    readonly connectionLimits: ReturnType<typeof computeConnectionLimits>;
    readonly countTargetConnections: () => number;
    readonly getMaxBodyBytes: () => number;
    readonly memory: RequestMemory;
    readonly log: Pick<LogSink, "write">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

const CHECK_INTERVAL_MS = 250;

/** Limits of callers' connections: their number, the bytes between two requests, and unread responses. */
export class CallerLimits {
    readonly #options: CallerLimitsOptions;
    readonly #byteLimit: CallerByteLimit;
    readonly #connectionLimit: ConnectionLimit;
    readonly #unread: UnreadResponses;
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
        this.#unread = UnreadResponses.create(options);
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

    /** Adds the response that is due for a request with a deadline in monotonic milliseconds. */
    addDue(response: ServerResponse, deadline: number): void {
        this.#unread.add(response, deadline);
    }

    /** Stops checking; connections close elsewhere. */
    close(): void {
        clearInterval(this.#timer);
    }

    #check(): void {
        this.#byteLimit.check();
        this.#unread.check();
        this.#connectionLimit.expire(this.#options.getNow());
    }
}
