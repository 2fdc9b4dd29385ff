import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { DueResponses } from "../shared/dueResponses.js";
import { HalfClosedCallers } from "../shared/halfClosedCallers.js";

interface CallerConnectionsOptions {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Refuses a request that is still being read and turned out to be faulty. */
    readonly onUnreadable: (response: ServerResponse, cause: "unreadable" | "read-too-late") => void;
    readonly onFailure: (reason: string, dueResponses: number) => void;
}

interface DueResponse {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
}

const BAD_REQUEST_LINE = "400 Bad Request";
const REQUEST_TIMEOUT_LINE = "408 Request Timeout";
/** An origin server that implements no CONNECT answers it so (RFC 9110, 9.1 and 9.3.6). */
const NOT_IMPLEMENTED_LINE = "501 Not Implemented";

/** Callers' connections with the responses that are due on them, in order. */
export class CallerConnections {
    readonly #options: CallerConnectionsOptions;
    readonly #due = DueResponses.create(response => response.destroyed || response.writableFinished);
    /** Connections that end after the responses that are due. */
    readonly #ending = new WeakSet<Duplex>();
    /** Responses that end their connection, unless another request is read before they begin. */
    readonly #last = new WeakSet<ServerResponse>();
    /** Connections on which a request has been read that is added after the responses that are due. */
    readonly #followed = new WeakSet<Duplex>();
    readonly #halfClosed: HalfClosedCallers;

    private constructor(options: CallerConnectionsOptions) {
        this.#options = options;
        this.#halfClosed = HalfClosedCallers.create(options.getNow);
    }

    /** Creates a record of no connections. */
    static create(options: CallerConnectionsOptions): CallerConnections {
        return new CallerConnections(options);
    }

    /** Adds a request whose response is due from now on. */
    add({ socket }: IncomingMessage, response: ServerResponse): void {
        const mayEnd = this.#keepOpen(socket);
        this.#followed.delete(socket);
        if (this.#due.add(response)) {
            socket.once("end", () => this.#onHalfClosed(socket));
        }
        if (mayEnd) {
            this.endAfter(response);
        }
    }

    /** Returns whether the caller has disconnected, or an earlier response was the last one of the connection. */
    static isClosed({ incoming: { socket }, response }: DueResponse): boolean {
        return response.destroyed || socket.destroyed || socket.writableEnded;
    }

    /**
     * Ends the connection of a response after the last response that is due on it: that of the last request which is read before
     * the response to the one before it begins.
     */
    endAfter(response: ServerResponse): void {
        const { socket } = response.req;
        const last = this.#due.findLast(socket);
        if (
            last?.shouldKeepAlive && !last.headersSent && !this.#ending.has(socket)
            && !this.#followed.has(socket)
        ) {
            last.shouldKeepAlive = false;
            this.#last.add(last);
        }
    }

    /** Keeps a connection open for a request with `Upgrade`, which is added after the responses that are due. */
    keepFor(socket: Duplex): void {
        this.#keepOpen(socket);
        this.#followed.add(socket);
    }

    /** Returns whether a connection ends after a response, unless another request is read before that begins. */
    isEndedAfter(response: ServerResponse): boolean {
        return this.#last.has(response);
    }

    /**
     * Calls a function once the responses before this one on its connection have ended: a request that is forwarded earlier
     * would get no answer if one of them closes the connection. A process that was suspended or has a long event loop delay
     * reads requests whose callers have closed their side meanwhile, which shows two turns of the event loop later; they wait until
     * it is known whether the callers are gone.
     *
     * @param run Gets the time in milliseconds for which the request was held; `undefined` if it was not.
     */
    runInTurn({ incoming, response }: DueResponse, run: (heldMs: number | undefined) => void): void {
        const { getNow } = this.#options;
        const readAt = getNow();
        const runHeld = (): void => run(getNow() - readAt);
        const before = this.#due.findBefore(response);
        const runDecided = (): void => {
            const waitMs = this.#halfClosed.getWaitMs(incoming.socket);
            if (waitMs > 0) {
                // After a delay of the event loop, the check for a reset runs in the same turn as this timer.
                setTimeout(() => setImmediate(runHeld), waitMs);
                return;
            }
            if (before) {
                runHeld();
                return;
            }
            run(undefined);
        };
        const runLater = (): void => void setImmediate(() => setImmediate(runDecided));
        if (before) {
            before.on("close", runLater);
            return;
        }
        runLater();
    }

    /**
     * Ends a connection that failed, or on which no request can be read any more. Responses that are due are sent first; what
     * could not be read gets its status after them.
     */
    end(error: NodeJS.ErrnoException, socket: Duplex): void {
        if (this.#ending.has(socket)) {
            // What follows on the connection fails again.
            return;
        }
        this.#ending.add(socket);
        if (this.#halfClosed.has(socket as Socket)) {
            // The caller is gone; its requests are logged as such.
            socket.destroy();
            return;
        }
        this.#options.onFailure(error.code ?? error.message, this.#due.list(socket).length);
        // The caller has left, or has broken off in the middle of a request.
        if (error.code === "ECONNRESET" || error.code === "HPE_INVALID_EOF_STATE" || !socket.writable) {
            socket.destroy();
            return;
        }
        const isTimeout = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
        const last = this.#due.findLast(socket);
        if (!last || last.req.complete) {
            this.#writeLast(socket, isTimeout ? REQUEST_TIMEOUT_LINE : BAD_REQUEST_LINE);
        }
        else {
            this.#options.onUnreadable(last, isTimeout ? "read-too-late" : "unreadable");
        }
    }

    /**
     * Refuses a request for a tunnel (CONNECT), after the responses that are due. Node.js has removed its own listeners from the
     * connection, and reads no further request from it.
     */
    refuseTunnel(socket: Duplex): void {
        this.#ending.add(socket);
        const reportFailure = (reason: string): void =>
            this.#options.onFailure(reason, this.#due.list(socket).length);
        reportFailure("tunnel-refused");
        socket.on("error", (error: NodeJS.ErrnoException) => reportFailure(error.code ?? error.message));
        socket.on("drain", () => this.#due.findNext(socket)?.emit("drain"));
        socket.resume();
        this.#writeLast(socket, NOT_IMPLEMENTED_LINE);
    }

    /** Answers what belongs to no response, after those that are due, and ends the connection. */
    #writeLast(socket: Duplex, statusLine: string): void {
        const write = (): void => {
            if (socket.writable) {
                socket.end(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
            }
        };
        this.#keepOpen(socket);
        const last = this.#due.findLast(socket);
        if (last) {
            last.on("finish", write);
            return;
        }
        write();
    }

    /** Keeps a connection open that would end after its last response, as something else follows. Returns whether it would. */
    #keepOpen(socket: Duplex): boolean {
        const last = this.#due.findLast(socket);
        if (!last || !this.#last.has(last) || last.headersSent) {
            return false;
        }
        last.shouldKeepAlive = true;
        return true;
    }

    /** The responses that are due are still sent, unless the caller turns out to be gone. */
    #onHalfClosed(socket: Socket): void {
        const next = this.#due.findNext(socket);
        if (next && !socket.destroyed) {
            this.endAfter(next);
            this.#halfClosed.add(socket, () => this.#due.findNext(socket));
        }
    }
}
