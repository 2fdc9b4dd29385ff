import type { Socket } from "node:net";

/** Connections of callers that are served, up to a number that leaves descriptors for targets, peers and operators. */
export class ServedConnections {
    readonly #maxServed: number;
    readonly #served = new Set<Socket>();

    private constructor(maxServed: number) {
        this.#maxServed = maxServed;
    }

    /** Creates a record of no connections. */
    static create(maxServed: number): ServedConnections {
        return new ServedConnections(maxServed);
    }

    /** Adds a connection until it closes, and returns true, unless there are too many or `mayServe` returns false. */
    tryAdd(socket: Socket, mayServe: () => boolean): boolean {
        if (this.#served.size >= this.#maxServed || !mayServe()) {
            return false;
        }
        this.#served.add(socket);
        socket.once("close", () => this.#served.delete(socket));
        return true;
    }
}
