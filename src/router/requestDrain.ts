import type { ServerResponse } from "node:http";

/** Time in which a caller can send the rest of its request and read the refusal. */
const DRAIN_MS = 2000;

/**
 * Responses that are sent and followed by the end of their connection, once their requests have been read: closing a
 * connection with unread bytes resets it, and the caller may lose the response.
 */
export class RequestDrain {
    /** Responses with their deadlines in monotonic milliseconds. */
    readonly #deadlines = new Map<ServerResponse, number>();

    /** Creates an empty drain. */
    static create(): RequestDrain {
        return new RequestDrain();
    }

    /**
     * Sends the head of a response, which has no body, and ends the response once the rest of its request has been read and
     * dropped.
     *
     * @param now Monotonic time in milliseconds.
     */
    add(response: ServerResponse, now: number): void {
        const { req: incoming } = response;
        this.#deadlines.set(response, now + DRAIN_MS);
        const finish = (): void => this.#finish(response);
        incoming.on("end", finish);
        incoming.on("error", finish);
        response.on("close", () => this.#deadlines.delete(response));
        response.flushHeaders();
        incoming.resume();
    }

    /** Ends the responses whose requests have not been read by their deadlines. */
    expire(now: number): void {
        for (const [response, deadline] of this.#deadlines) {
            if (deadline <= now) {
                this.#finish(response);
            }
        }
    }

    #finish(response: ServerResponse): void {
        if (this.#deadlines.delete(response)) {
            response.end();
        }
    }
}
