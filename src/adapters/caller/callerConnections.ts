import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { setImmediate as waitForNextTurn, setTimeout as sleep } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import { RequestError } from "../../core/errors/requestError.js";
import { DueResponses } from "../../shared/dueResponses.js";
import { HalfClosedCallers } from "../../shared/halfClosedCallers.js";
import { describeClientError } from "./describeClientError.js";
import { respondToClientError } from "./respondToClientError.js";

interface CallerConnectionsOptions {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Called when the rest of a connection could not be read, after its status was sent or given up. */
    readonly onUnreadable: (requestId: string, error: RequestError) => void;
}

/**
 * Connections of callers. Callers may send requests without waiting for responses (RFC 9112 section 9.3.2), so that what cannot
 * be read gets its status after the responses that are due, and no response but the last one closes a connection.
 */
export class CallerConnections {
    readonly #options: CallerConnectionsOptions;
    readonly #due = DueResponses.create(response => response.writableFinished);
    readonly #halfClosed: HalfClosedCallers;
    /** Connections that end after the responses that are due. */
    readonly #ending = new WeakSet<Duplex>();
    /** Connections on which a request has been read that is added after the responses that are due. */
    readonly #followed = new WeakSet<Duplex>();
    /** Ends the reading of requests that have not arrived completely. */
    readonly #failReading = new WeakMap<ServerResponse, (error: RequestError) => void>();

    private constructor(options: CallerConnectionsOptions) {
        this.#options = options;
        this.#halfClosed = HalfClosedCallers.create(options.getNow);
    }

    /** Creates a record of no connections. */
    static create(options: CallerConnectionsOptions): CallerConnections {
        return new CallerConnections(options);
    }

    /** Handles the errors and the CONNECT requests on connections of a server. */
    attach(server: Server): void {
        // Node.js would end a connection as soon as its caller has closed its side, with responses due. The types lack the property.
        Object.assign(server, { httpAllowHalfOpen: true });
        server.on("clientError", (error: NodeJS.ErrnoException, socket) => this.#fail(socket, error));
        server.on("connect", (_incoming, socket) => this.#refuseConnect(socket));
        // A request with Upgrade is added after the responses that are due.
        server.on("upgrade", (_incoming, socket) => this.#followed.add(socket));
    }

    /** Adds a request whose response is due from now on. */
    add(response: ServerResponse): void {
        const { socket } = response.req;
        this.#followed.delete(socket);
        if (this.#due.add(response)) {
            socket.once("end", () => this.#onHalfClosed(socket));
        }
    }

    /**
     * Reads a request.
     *
     * @throws RequestError when the connection turns out to be faulty meanwhile, or when `read` does.
     */
    read<T>(response: ServerResponse, read: () => Promise<T>): Promise<T> {
        const failed = new Promise<never>((_resolve, reject) => this.#failReading.set(response, reject));
        return Promise.race([read(), failed]);
    }

    /**
     * Waits until a request may be run: a target would run it without an answer to its caller if an earlier response closed the
     * connection. Methods without effects are run at once.
     *
     * @throws RequestError `caller-disconnected` when no response can be sent any more.
     */
    async waitForTurn({ method }: IncomingMessage, response: ServerResponse): Promise<void> {
        if (method !== "GET" && method !== "HEAD" && method !== "OPTIONS") {
            await this.#due.waitForTurn(response);
        }
        const waitMs = this.#halfClosed.getWaitMs(response.req.socket);
        if (waitMs > 0) {
            await sleep(waitMs);
            // After a delay of the event loop, the check for a reset runs in the same turn as this timer.
            await waitForNextTurn();
        }
        if (response.destroyed || !response.req.socket.writable) {
            throw RequestError.create("caller-disconnected", "The caller has disconnected.");
        }
    }

    /** Waits until the responses before this one on its connection have ended. */
    async waitForSending(response: ServerResponse): Promise<void> {
        await this.#due.waitForTurn(response);
    }

    /** Closes the connection with a response that is not sent yet, unless another one is due behind it. */
    endWith(response: ServerResponse): void {
        const isFollowed = !this.#due.isLast(response) || this.#followed.has(response.req.socket);
        if (!response.headersSent && !isFollowed) {
            response.setHeader("connection", "close");
        }
    }

    /** Ends a connection that failed, or on which no request can be read any more. */
    #fail(socket: Duplex, { code }: NodeJS.ErrnoException): void {
        if (this.#ending.has(socket)) {
            // What follows on the connection fails again.
            return;
        }
        this.#ending.add(socket);
        if (this.#halfClosed.has(socket as Socket)) {
            // The caller is gone.
            socket.destroy();
            return;
        }
        const error = describeClientError(code);
        const last = this.#due.findLast(socket);
        if (code !== "ECONNRESET" && last && !last.req.complete) {
            this.endWith(last);
            this.#failReading.get(last)?.(error);
            return;
        }
        this.#respond(socket, code === "ECONNRESET" ? undefined : last, error);
    }

    /** The responses that are due are still sent, unless the caller turns out to be gone. */
    #onHalfClosed(socket: Socket): void {
        const last = this.#due.findLast(socket);
        if (last && this.#due.findNext(socket) && !socket.destroyed) {
            this.endWith(last);
            this.#halfClosed.add(socket, () => this.#due.findNext(socket));
        }
    }

    /** Refuses a CONNECT request. Node.js has given up the connection, and closes it without a status if nobody listens. */
    #refuseConnect(socket: Duplex): void {
        this.#ending.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("drain", () => this.#due.list(socket)[0]?.emit("drain"));
        socket.resume();
        const error = RequestError.create("method-not-implemented", "There are no tunnels (CONNECT) here.");
        this.#respond(socket, this.#due.findLast(socket), error);
    }

    #respond(socket: Duplex, last: ServerResponse | undefined, error: RequestError): void {
        const requestId = createUuid();
        const respond = (): void => {
            respondToClientError(socket, error, requestId);
            this.#options.onUnreadable(requestId, error);
        };
        if (last) {
            last.once("close", respond);
            return;
        }
        respond();
    }
}
