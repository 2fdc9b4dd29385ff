import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as TcpServer, type Socket } from "node:net";
import type { EndPlan } from "../core/routing/endPlan.js";
import { AcceptQueue } from "./acceptQueue.js";
import { LingeringConnections } from "./lingeringConnections.js";
import { RefusedConnections } from "./refusedConnections.js";
import { RelayedConnections } from "./relayedConnections.js";
import type { ServerConnectionsOptions } from "./serverConnectionsOptions.js";
import { UNREAD_REFUSAL } from "./unreadRefusal.js";
import { UnwrappedConnections } from "./unwrappedConnections.js";
import { UpgradeRequests } from "./upgradeRequests.js";

const POLL_MS = 5;
/** Time in which a connection that was accepted at the end brings its request. */
const FIRST_REQUEST_MS = 150;
/** Few clients use the servers that set no other limits. */
const DEFAULT_MAX_UNREAD = 256;
const DEFAULT_MAX_REFUSED = 256;

/**
 * Connections of an HTTP server, closed so that callers get their responses. The operating system resets a connection that is
 * closed with unread bytes, or that gets more bytes afterwards, and a reset may overtake the response.
 */
export class ServerConnections {
    readonly #server: Server;
    readonly #queue: AcceptQueue;
    readonly #refused: RefusedConnections;
    readonly #relayed: RelayedConnections;
    readonly #unwrapped: UnwrappedConnections;
    /** Open connections with the responses that are due on them, in order. */
    readonly #due = new Map<Socket, readonly ServerResponse[]>();
    /** Accepted connections on which no request has been read yet. */
    readonly #unused = new Set<Socket>();
    readonly #lingering = LingeringConnections.create();
    /** Monotonic time in milliseconds of the last accepted connection or request. */
    #progressAt = 0;
    #stopped: Promise<void> | undefined;
    #isEnding = false;

    private constructor(server: Server, options: ServerConnectionsOptions) {
        const {
            maxUnread = DEFAULT_MAX_UNREAD,
            maxRefused = DEFAULT_MAX_REFUSED,
            mayServe = () => true,
            mayRefuse = () => false,
            tryRefuse = () => false,
            maySpare = () => false,
            countHoldable = () => 0,
            mayServeHeld = () => false,
            maxRelayed = 0,
            findPeer = () => undefined,
            tryRelay = () => undefined,
            onRefused = () => undefined,
            onFailed,
        } = options;
        const recordFailure = onFailed ?? ((): void => undefined);
        this.#server = server;
        this.#queue = AcceptQueue.create(server, { maxUnread, onProbeFailed: onFailed });
        // The listener of the HTTP server itself. Without its parser, a refused connection costs less.
        const serveListeners = server.listeners("connection");
        server.removeAllListeners("connection");
        const readRequests = (socket: Socket): void =>
            serveListeners.forEach(listener => listener.call(server, socket));
        const serve = (socket: Socket): void => {
            this.#add(socket);
            socket.setNoDelay(true);
            readRequests(socket);
        };
        this.#relayed = RelayedConnections.create({
            maxOpen: maxRelayed,
            findPeer,
            tryRelay,
            onFailed: recordFailure,
        });
        UpgradeRequests.create(server, {
            listDue: socket => this.#due.get(socket) ?? [],
            serve: readRequests,
        });
        this.#refused = RefusedConnections.create({
            maxOpen: maxRefused,
            maySpare,
            countHoldable,
            mayServeHeld,
            serve,
            onRefused,
            onFailed: recordFailure,
        });
        this.#unwrapped = UnwrappedConnections.create(server, {
            queue: this.#queue,
            mayRefuse: () => mayRefuse() && this.#unwrapped.size + this.#refused.size < maxRefused,
            tryRefuse,
            tryRelay: (...connection) => this.#relayed.tryAdd(...connection),
            onRefused,
            onFailed: recordFailure,
        });
        server.on("connection", (socket: Socket) => {
            if (!this.#queue.add(socket)) {
                return;
            }
            if (mayServe(socket)) {
                serve(socket);
            }
            else {
                this.#refused.add(socket);
            }
        });
        server.prependListener(
            "request",
            (incoming, response) => this.#recordRequest(incoming, response),
        );
    }

    /** Keeps track of the connections of a server that does not listen yet, and has no other listener of connections. */
    static create(server: Server, options: ServerConnectionsOptions = {}): ServerConnections {
        return new ServerConnections(server, options);
    }

    /** Connections that the server has not accepted yet. */
    get queue(): AcceptQueue {
        return this.#queue;
    }

    /** Number of connections that are held until they may be served. */
    get held(): number {
        return this.#refused.held;
    }

    /** Number of connections that are relayed to other instances. */
    get relayed(): number {
        return this.#relayed.size;
    }

    /** Number of connections that are decided about before they have sockets. */
    get unwrapped(): number {
        return this.#unwrapped.size;
    }

    /** Returns whether no response can be sent on a connection any more. */
    static isEnded(socket: Socket): boolean {
        return socket.writableEnded;
    }

    /**
     * Stops listening, once all connections that the operating system has accepted are taken over: closing the listening
     * socket resets the others.
     *
     * @param until Monotonic time in milliseconds at which it stops listening in any case.
     */
    stopListening(until: number): Promise<void> {
        return this.#stopped ??= this.#acceptLast(until);
    }

    async #acceptLast(until: number): Promise<void> {
        await this.#queue.drain(until);
        // `close` of an HTTP server also destroys connections whose request has not been read yet.
        TcpServer.prototype.close.call(this.#server);
        this.#queue.readAll();
    }

    /**
     * Waits until the requests on accepted connections have been read and answered.
     *
     * @param until Monotonic time in milliseconds at which the wait ends in any case.
     */
    async waitForResponses(until: number): Promise<void> {
        const mayBringRequest = (): boolean =>
            this.#unused.size > 0 && performance.now() < this.#progressAt + FIRST_REQUEST_MS;
        await this.#waitWhile(
            () => mayBringRequest() || this.#hasDueResponse() || this.#relayed.size > 0,
            until,
        );
    }

    /**
     * Ends the idle connections now and the others after their responses, and waits until callers have closed them. Connections
     * whose requests could not be read in time are refused.
     *
     * @param until Monotonic time in milliseconds at which the wait ends in any case.
     */
    async endConnections(until: number): Promise<void> {
        this.#isEnding = true;
        this.#unwrapped.makeSockets();
        this.#due.forEach((due, socket) => {
            if (ServerConnections.isEnded(socket)) {
                // What could not be read as a request has been answered.
                return;
            }
            if (this.#unused.has(socket)) {
                socket.end(UNREAD_REFUSAL);
            }
            else if (due.length === 0) {
                socket.end();
            }
        });
        this.#refused.end();
        this.#relayed.end();
        await this.#waitWhile(
            () => this.#due.size > 0 || this.#refused.size > 0 || this.#relayed.size > 0,
            until,
        );
    }

    /** Closes all connections at once. */
    dropConnections(): void {
        this.#due.forEach((_due, socket) => socket.destroy());
        this.#unwrapped.drop();
        this.#refused.drop();
        this.#relayed.drop();
    }

    /** Stops listening, and closes all connections after the responses to the requests on them. */
    async close({ answerBy, closeBy }: EndPlan): Promise<void> {
        await this.stopListening(answerBy);
        await this.waitForResponses(answerBy);
        await this.endConnections(closeBy);
        this.dropConnections();
    }

    #add(socket: Socket): void {
        this.#progressAt = performance.now();
        this.#due.set(socket, []);
        this.#unused.add(socket);
        // The HTTP server calls this after the last response. Its own version closes the connection while bytes may arrive.
        socket.destroySoon = () => void socket.end();
        socket.once("finish", () => this.#lingering.add(socket));
        socket.once("close", () => {
            this.#due.delete(socket);
            this.#unused.delete(socket);
            this.#lingering.delete(socket);
        });
    }

    #recordRequest({ socket }: IncomingMessage, response: ServerResponse): void {
        this.#progressAt = performance.now();
        this.#unused.delete(socket);
        const due = this.#due.get(socket);
        if (due) {
            this.#due.set(socket, [...due, response]);
        }
        response.once("close", () => {
            const rest = this.#due.get(socket)?.filter(other => other !== response);
            if (rest) {
                this.#due.set(socket, rest);
            }
            if (this.#isEnding && rest?.length === 0) {
                socket.end();
            }
        });
    }

    #hasDueResponse(): boolean {
        return [...this.#due.values()].some(due => due.length > 0);
    }

    async #waitWhile(isPending: () => boolean, until: number): Promise<void> {
        while (isPending() && performance.now() < until) {
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
    }
}
