import type { Server, Socket } from "node:net";

interface AcceptQueueOptions {
    /** Number of accepted connections that may wait until they are read; each takes a descriptor. */
    readonly maxUnread: number;
    /** Returns the monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/** Longest time for which accepted connections wait for further ones before they are read. */
const MAX_WAIT_MS = 10;

/**
 * Takes connections over from the queue of the operating system before it reads from them. Node.js accepts one connection a
 * turn of its event loop: if each turn also serves requests, a burst fills the queue, and its connections wait unseen.
 */
export class AcceptQueue {
    readonly #options: AcceptQueueOptions;
    /** Accepted connections that are not read yet. */
    #unread: Socket[] = [];
    /** Monotonic time in milliseconds at which they are read in any case. */
    #readBy = 0;
    #accepted = 0;
    #isDraining = false;

    private constructor(server: Server, options: AcceptQueueOptions) {
        this.#options = options;
        // An option of `net.createServer` that `http.createServer` does not pass on.
        Object.assign(server, { pauseOnConnect: true });
        server.on("connection", (socket: Socket) => this.#add(socket));
    }

    /** Takes over the connections of a server that does not listen yet. */
    static create(server: Server, options: AcceptQueueOptions): AcceptQueue {
        return new AcceptQueue(server, options);
    }

    /**
     * Waits until the queue of the operating system is empty. Unless there are too many, nothing is read from the connections that
     * are accepted until `readAll`.
     *
     * @param until Monotonic time in milliseconds at which the wait ends in any case.
     */
    async drain(until: number): Promise<void> {
        this.#isDraining = true;
        let accepted: number;
        do {
            accepted = this.#accepted;
            // A turn without a connection has found the queue empty. After an uncaught error the next turn may begin without a
            // look at the sockets.
            await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
        }
        while (this.#accepted !== accepted && this.#options.getNow() < until);
    }

    /** Reads from the connections that have been accepted. */
    readAll(): void {
        this.#isDraining = false;
        this.#read();
    }

    #add(socket: Socket): void {
        this.#accepted += 1;
        this.#unread.push(socket);
        if (this.#unread.length >= this.#options.maxUnread) {
            this.#read();
        }
        else if (this.#unread.length === 1) {
            this.#readBy = this.#options.getNow() + MAX_WAIT_MS;
            setImmediate(() => this.#readAfterTurn());
        }
    }

    #read(): void {
        this.#unread.splice(0).forEach(socket => socket.resume());
    }

    /** Reads at the end of the first turn of the event loop that accepts no connection. */
    #readAfterTurn(): void {
        const accepted = this.#accepted;
        setImmediate(() => {
            if (this.#isDraining) {
                return;
            }
            if (this.#accepted === accepted || this.#options.getNow() >= this.#readBy) {
                this.readAll();
            }
            else {
                this.#readAfterTurn();
            }
        });
    }
}
