import type { Socket } from "node:net";

interface BoundedConnectionsOptions {
    /** Number of connections that may be open. */
    readonly maxOpen: number;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Closes a connection at once; `isUsed` tells whether it has carried a request. */
    readonly close: (socket: Socket, isUsed: boolean) => void;
}

interface BoundedConnection {
    readonly openRequests: number;
    /** Monotonic time in milliseconds at which it was accepted, or at which its last request began or ended. */
    readonly changedAt: number;
    /** Monotonic time in milliseconds by which its first request must begin; `undefined` once one has. */
    readonly firstRequestBy: number | undefined;
}

const FIRST_REQUEST_MS = 10_000;
const CHECK_INTERVAL_MS = 500;
/** A client that has not read a response after this time may have left, or does not want to read it. */
const RESPONSE_MS = 10_000;

/**
 * Open connections of a server for others than callers. So that nobody can take the descriptors of callers, or keep others from the
 * server, a surplus connection takes the place of the one on which nothing has happened for longest.
 */
export class BoundedConnections {
    readonly #options: BoundedConnectionsOptions;
    readonly #open = new Map<Socket, BoundedConnection>();
    /** Set while connections are open. */
    #timer: NodeJS.Timeout | undefined;

    private constructor(options: BoundedConnectionsOptions) {
        this.#options = options;
    }

    /** Creates a record of no connections. */
    static create(options: BoundedConnectionsOptions): BoundedConnections {
        return new BoundedConnections(options);
    }

    /** Adds a connection until it closes, and returns true, unless there are too many and all have open requests. */
    tryAdd(socket: Socket): boolean {
        const now = this.#options.getNow();
        if (this.#open.size >= this.#options.maxOpen && !this.#closeOldest(now)) {
            return false;
        }
        this.#open.set(socket, { openRequests: 0, changedAt: now, firstRequestBy: now + FIRST_REQUEST_MS });
        this.#timer ??= setInterval(() => this.#expire(), CHECK_INTERVAL_MS);
        socket.once("close", () => this.#remove(socket));
        return true;
    }

    /** Records the begin of a request. */
    recordRequest(socket: Socket): void {
        this.#record(socket, 1);
    }

    /** Records the end of a request. */
    recordEnd(socket: Socket): void {
        this.#record(socket, -1);
    }

    #record(socket: Socket, change: number): void {
        const connection = this.#open.get(socket);
        if (connection) {
            const openRequests = connection.openRequests + change;
            this.#open.set(socket, {
                openRequests,
                changedAt: this.#options.getNow(),
                firstRequestBy: undefined,
            });
        }
    }

    #closeOldest(now: number): boolean {
        let oldest: Socket | undefined;
        let oldestAt = Infinity;
        this.#open.forEach(({ openRequests, changedAt }, socket) => {
            const isReplaceable = openRequests === 0 || changedAt + RESPONSE_MS <= now;
            if (isReplaceable && changedAt < oldestAt) {
                oldest = socket;
                oldestAt = changedAt;
            }
        });
        if (!oldest) {
            return false;
        }
        this.#close(oldest);
        return true;
    }

    #expire(): void {
        const now = this.#options.getNow();
        this.#open.forEach(({ firstRequestBy = Infinity }, socket) => {
            if (firstRequestBy <= now) {
                this.#close(socket);
            }
        });
    }

    #close(socket: Socket): void {
        const isUsed = this.#open.get(socket)?.firstRequestBy === undefined;
        this.#remove(socket);
        this.#options.close(socket, isUsed);
    }

    #remove(socket: Socket): void {
        this.#open.delete(socket);
        if (this.#open.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }
}
