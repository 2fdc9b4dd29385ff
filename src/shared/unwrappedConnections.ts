import type { Server, Socket } from "node:net";
import { getSystemErrorName } from "node:util";
import type { AcceptedConnection } from "./acceptedConnection.js";
import type { AcceptQueue } from "./acceptQueue.js";
import { findStreamBinding } from "./findStreamBinding.js";
import { getPeerAddress } from "./getPeerAddress.js";
import { isWholeRequest } from "./isWholeRequest.js";
import { readRequestHead } from "./readRequestHead.js";
import type { SocketHandle } from "./socketHandle.js";
import { UNREAD_REFUSAL } from "./unreadRefusal.js";

interface UnwrappedConnectionsOptions {
    readonly queue: Pick<AcceptQueue, "add" | "isDraining">;
    /** Returns whether some connections are refused at present, and another one may be open. */
    readonly mayRefuse: () => boolean;
    /** Returns whether a connection is refused, by the head of its first request with all its line ends; it counts as offered then. */
    readonly tryRefuse: (head: string) => boolean;
    /** Relays a connection that is not refused to another instance, or else calls `serve`, later. Returns whether it does. */
    readonly tryRelay: (
        connection: SocketHandle,
        request: { readonly head: string; readonly bytes: Buffer; },
        serve: (received: Buffer) => void,
    ) => boolean;
    readonly onRefused: () => void;
    /** Called when a connection breaks before its caller has sent its request, or as the refusal is written. */
    readonly onFailed: (error: Error) => void;
}

/** Part of a server of Node.js that accepts connections. */
interface ServerHandle {
    onconnection: (this: ServerHandle, status: number, connection: SocketHandle) => void;
}

const REFUSAL = Buffer.from(UNREAD_REFUSAL, "latin1");
/** A caller whose request does not arrive in this time costs a `Socket`. */
const MAX_WAIT_MS = 50;
const binding = findStreamBinding();

/**
 * Connections that are refused before a `Socket` is made for them, which takes most of the processor time of a refusal. A connection
 * is read once; unless its whole request has arrived and is refused, it goes the way of all others, as if nothing had been read. This
 * depends on parts of Node.js that are not public; if they are not as expected, each connection goes the way of all others.
 */
export class UnwrappedConnections {
    readonly #options: UnwrappedConnectionsOptions;
    readonly #server: Server;
    /** Open connections with the monotonic times in milliseconds until which they wait for a request. */
    readonly #open = new Map<SocketHandle, number>();
    #acceptWrapped: ((connection: SocketHandle) => void) | undefined;
    /** What was read from the connection that is being wrapped. */
    #chunk: Buffer | undefined;
    /** Set while connections are open. */
    #timer: NodeJS.Timeout | undefined;

    private constructor(server: Server, options: UnwrappedConnectionsOptions) {
        this.#server = server;
        this.#options = options;
        server.on("listening", () => this.#attach());
        server.prependListener("connection", (socket: Socket) => {
            if (this.#chunk) {
                socket.pause();
                socket.unshift(this.#chunk);
            }
        });
    }

    /** Takes the connections of a server that does not listen yet, before its listeners of connections. */
    static create(server: Server, options: UnwrappedConnectionsOptions): UnwrappedConnections {
        return new UnwrappedConnections(server, options);
    }

    /** Number of open connections. */
    get size(): number {
        return this.#open.size;
    }

    /** Makes sockets for all connections. */
    makeSockets(): void {
        [...this.#open.keys()].forEach(connection => this.#makeSocket(connection));
    }

    /** Closes all connections at once. */
    drop(): void {
        [...this.#open.keys()].forEach(connection => this.#close(connection));
    }

    #attach(): void {
        const handle = (this.#server as { readonly _handle?: Partial<ServerHandle>; })._handle;
        const accept = handle?.onconnection;
        if (!binding || !accept) {
            return;
        }
        this.#acceptWrapped = connection => accept.call(handle as ServerHandle, 0, connection);
        handle.onconnection = (status, connection) => {
            const { queue, mayRefuse } = this.#options;
            if (status !== 0 || queue.isDraining || !mayRefuse()) {
                accept.call(handle as ServerHandle, status, connection);
            }
            else if (queue.add(createProbeView(connection))) {
                this.#add(connection);
            }
        };
    }

    #add(connection: SocketHandle): void {
        this.#open.set(connection, performance.now() + MAX_WAIT_MS);
        this.#timer ??= setInterval(() => this.#expire(), MAX_WAIT_MS);
        connection.onread = bytes => this.#onRead(connection, bytes);
        connection.readStart();
    }

    #onRead(connection: SocketHandle, bytes: ArrayBuffer | undefined): void {
        const { tryRefuse, tryRelay, onRefused } = this.#options;
        const { length, offset } = binding?.getLastRead() ?? { length: 0, offset: 0 };
        if (!bytes || length <= 0) {
            this.#fail(connection, length);
            return;
        }
        const chunk = Buffer.from(bytes, offset, length);
        const head = readRequestHead(chunk);
        if (head === undefined || !isWholeRequest(chunk, head) || !tryRefuse(head)) {
            connection.readStop();
            const serve = (received: Buffer): void => this.#makeSocket(connection, received);
            if (head !== undefined && tryRelay(connection, { head, bytes: chunk }, serve)) {
                this.#open.delete(connection);
            }
            else {
                serve(chunk);
            }
            return;
        }
        connection.readStop();
        onRefused();
        const status = binding?.write(connection, REFUSAL, () => this.#close(connection)) ?? 0;
        if (status < 0) {
            this.#fail(connection, status);
        }
    }

    /** Makes a socket for a connection, so that the listeners of the server get it. */
    #makeSocket(connection: SocketHandle, chunk?: Buffer): void {
        connection.readStop();
        this.#open.delete(connection);
        this.#chunk = chunk;
        const resume = (socket: Socket): void => void socket.resume();
        if (chunk && !this.#options.queue.isDraining) {
            this.#server.once("connection", resume);
        }
        this.#acceptWrapped?.(connection);
        this.#server.off("connection", resume);
        this.#chunk = undefined;
    }

    /** @param status Negative number of an error. */
    #fail(connection: SocketHandle, status: number): void {
        const code = status < 0 ? getSystemErrorName(status) : "EOF";
        if (code !== "EOF") {
            this.#options.onFailed(Object.assign(new Error(code), { code }));
        }
        this.#close(connection);
    }

    #close(connection: SocketHandle): void {
        this.#open.delete(connection);
        connection.close();
    }

    #expire(): void {
        const now = performance.now();
        this.#open.forEach((until, connection) => {
            if (until <= now) {
                this.#makeSocket(connection);
            }
        });
        if (this.#open.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }
}

/** Shows a connection to the queue, which looks for the one that the process has opened itself. */
function createProbeView(connection: SocketHandle): AcceptedConnection {
    const { address, port } = getPeerAddress(connection);
    return {
        remoteAddress: address,
        remotePort: port,
        destroy: () => connection.close(),
        resume: () => undefined,
    };
}
