import type { Server, Socket } from "node:net";

/**
 * Takes connections over from the queue of the operating system before the end of a server. Node.js accepts one connection a turn
 * of its event loop: if each turn also serves requests, a queue that fills as fast is never empty.
 */
export class AcceptQueue {
    readonly #server: Server;
    readonly #maxUnread: number;
    /** Connections that were accepted since `drain` began and are not read yet. */
    readonly #unread: Socket[] = [];
    #accepted = 0;
    #isDraining = false;

    private constructor(server: Server, maxUnread: number) {
        this.#server = server;
        this.#maxUnread = maxUnread;
        server.on("connection", (socket: Socket) => this.#add(socket));
    }

    /**
     * Follows the connections of a server that does not listen yet.
     *
     * @param maxUnread Number of accepted connections that may wait until they are read; each takes a descriptor.
     */
    static create(server: Server, maxUnread: number): AcceptQueue {
        return new AcceptQueue(server, maxUnread);
    }

    /**
     * Waits until the queue of the operating system is empty. Unless there are too many, nothing is read from the connections that
     * are accepted until `readAll`.
     *
     * @param until Monotonic time in milliseconds at which the wait ends in any case.
     */
    async drain(until: number): Promise<void> {
        this.#setPaused(true);
        let accepted: number;
        do {
            accepted = this.#accepted;
            // A turn without a connection has found the queue empty. After an uncaught error the next turn may begin without a
            // look at the sockets.
            await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
        }
        while (this.#accepted !== accepted && performance.now() < until);
    }

    /** Reads from the connections that have been accepted. */
    readAll(): void {
        this.#setPaused(false);
        this.#read();
    }

    #add(socket: Socket): void {
        this.#accepted += 1;
        if (this.#isDraining && this.#unread.push(socket) >= this.#maxUnread) {
            this.#read();
        }
    }

    #read(): void {
        this.#unread.splice(0).forEach(socket => socket.resume());
    }

    #setPaused(isPaused: boolean): void {
        this.#isDraining = isPaused;
        // An option of `net.createServer` that `http.createServer` does not pass on.
        Object.assign(this.#server, { pauseOnConnect: isPaused });
    }
}
