import type { Socket } from "node:net";

/** A caller has this long to close its side after the last response on a connection. */
const LINGER_MS = 1000;
const CHECK_INTERVAL_MS = 20;

/** Connections whose last response has been sent, and that are read until their callers close them. */
export class LingeringConnections {
    /** Monotonic times in milliseconds at which the connections are closed. */
    readonly #open = new Map<Socket, number>();
    /** Set while connections linger. */
    #timer: NodeJS.Timeout | undefined;

    /** Creates a record of no connections. */
    static create(): LingeringConnections {
        return new LingeringConnections();
    }

    /** Reads on until the caller closes its side, for a limited time. */
    add(socket: Socket): void {
        if (socket.destroyed) {
            return;
        }
        this.#open.set(socket, performance.now() + LINGER_MS);
        this.#timer ??= setInterval(() => this.#expire(), CHECK_INTERVAL_MS);
    }

    /** Forgets a connection that has closed. */
    delete(socket: Socket): void {
        this.#open.delete(socket);
    }

    #expire(): void {
        const now = performance.now();
        this.#open.forEach((until, socket) => {
            if (until <= now) {
                socket.destroy();
            }
        });
        if (this.#open.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }
}
