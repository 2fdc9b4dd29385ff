import { type AddressInfo, connect, type Server, type Socket } from "node:net";
import type { AcceptedConnection } from "./acceptedConnection.js";
import { isOwnConnection } from "./isOwnConnection.js";

/** The operating system queues one connection more than the backlog. A backlog of zero would refuse all without SYN cookies. */
const BACKLOG = 1;
const PLACES = BACKLOG + 1;

/** What Node.js does not publish of a socket: calls of the operating system that return an error number, or zero. */
interface NodeHandle {
    readonly getpeername?: (address: object) => number;
    readonly listen?: (backlog: number) => number;
}

/**
 * Seal of the queue in which the operating system keeps connections that a server has not accepted yet. Closing a listening
 * socket resets the connections in its queue, and any may arrive after the last look at it; so the queue is made as short as can
 * be, and connections of the process to itself take its places. Callers whose connections are not accepted see a connection that
 * is refused, and may go elsewhere.
 */
export class QueueSeal {
    readonly #server: Server;
    readonly #onFailed: (error: Error) => void;
    /** Connections in the queue, from the side that has opened them. */
    readonly #own = new Set<Socket>();

    private constructor(server: Server, onFailed: (error: Error) => void) {
        this.#server = server;
        this.#onFailed = onFailed;
    }

    /**
     * Shortens the queue of a server that listens.
     *
     * @param onFailed Called when a connection to the server cannot be opened.
     */
    static create(server: Server, onFailed: (error: Error) => void): QueueSeal {
        QueueSeal.#getHandle(server).listen?.(BACKLOG);
        return new QueueSeal(server, onFailed);
    }

    /** Returns whether an accepted connection is one of the process to itself, and closes it. */
    drop(accepted: AcceptedConnection): boolean {
        const own = [...this.#own].find(opened => isOwnConnection(accepted, opened));
        if (own) {
            this.#own.delete(own);
            own.destroy();
            accepted.destroy();
        }
        return own !== undefined;
    }

    /** Takes the free places. Resolves with whether no other connection is in the queue, nor can be until one is accepted. */
    async tryFill(): Promise<boolean> {
        const address = this.#server.address() as AddressInfo | null;
        while (address && this.#own.size < PLACES) {
            const socket = connect(address.port, address.address);
            socket.on("error", this.#onFailed);
            // Node.js opens the connection in the next tick, and the operating system completes it at once if there is a place.
            await new Promise<void>(resolve => process.nextTick(resolve));
            if (QueueSeal.#getHandle(socket).getpeername?.({}) !== 0) {
                socket.destroy();
                return false;
            }
            this.#own.add(socket);
        }
        return this.#own.size === PLACES;
    }

    /** Closes the connections that are open. */
    close(): void {
        this.#own.forEach(socket => socket.destroy());
    }

    static #getHandle(owner: Server | Socket): NodeHandle {
        return (owner as { readonly _handle?: NodeHandle | null; })._handle ?? {};
    }
}
