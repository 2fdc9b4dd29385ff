import type { ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** Responses that are due on the connections of an HTTP server, in the order of their requests. */
export class DueResponses {
    readonly #due = new WeakMap<Duplex, readonly ServerResponse[]>();
    readonly #isEnded: (response: ServerResponse) => boolean;

    private constructor(isEnded: (response: ServerResponse) => boolean) {
        this.#isEnded = isEnded;
    }

    /**
     * Creates a record of no connections.
     *
     * @param isEnded Returns whether a response whose turn has not come needs no `close` when its connection closes.
     */
    static create(isEnded: (response: ServerResponse) => boolean): DueResponses {
        return new DueResponses(isEnded);
    }

    /** Adds a response that is due from now on, until it emits `close`. Returns whether it is the first one on its connection. */
    add(response: ServerResponse): boolean {
        const { socket } = response.req;
        const isFirst = !this.#due.has(socket);
        if (isFirst) {
            socket.once("close", () => this.#closeQueued(socket));
        }
        this.#due.set(socket, [...this.list(socket), response]);
        response.once("close", () => {
            this.#due.set(socket, this.list(socket).filter(due => due !== response));
        });
        return isFirst;
    }

    /** Responses that are due on a connection, in order. */
    list(socket: Duplex): readonly ServerResponse[] {
        return this.#due.get(socket) ?? [];
    }

    /** Finds the response that is being sent on a connection, or is the next one. */
    findNext(socket: Duplex): ServerResponse | undefined {
        return this.list(socket).find(response => response.socket);
    }

    /** Returns the last response that is due on a connection. */
    findLast(socket: Duplex): ServerResponse | undefined {
        return this.list(socket).at(-1);
    }

    /** Returns the response that is due before another one on its connection. */
    findBefore(response: ServerResponse): ServerResponse | undefined {
        const due = this.list(response.req.socket);
        return due[due.indexOf(response) - 1];
    }

    /** Returns whether no other request has been read behind the one of a response. */
    isLast(response: ServerResponse): boolean {
        return this.findLast(response.req.socket) === response;
    }

    /** Resolves when the responses before this one have ended, or the connection has closed. */
    async waitForTurn(response: ServerResponse): Promise<void> {
        const before = this.findBefore(response);
        if (before) {
            await new Promise<void>(resolve => before.once("close", resolve));
        }
    }

    /** Ends the responses whose turn has not come: Node.js emits `close` only for the one that is being sent. */
    #closeQueued(socket: Duplex): void {
        for (const response of this.list(socket)) {
            if (!response.socket && !this.#isEnded(response)) {
                response.destroy();
                response.emit("close");
            }
        }
    }
}
