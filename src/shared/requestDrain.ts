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
     * Sends a response whose head is written, with the length of its body; if its connection closes after it, the response
     * ends once the rest of its request has been read and dropped.
     *
     * @param now Monotonic time in milliseconds.
     */
    finish(response: ServerResponse, now: number, body = ""): void {
        const { req: incoming } = response;
        if (response.shouldKeepAlive || incoming.complete) {
            response.end(body);
            return;
        }
        this.#deadlines.set(response, now + DRAIN_MS);
        const end = (): void => this.#end(response);
        incoming.on("end", end);
        incoming.on("error", end);
        response.on("close", () => this.#deadlines.delete(response));
        response.flushHeaders();
        if (body !== "") {
            response.write(body);
        }
        incoming.resume();
    }

    /** Ends the responses whose requests have not been read by their deadlines. */
    expire(now: number): void {
        for (const [response, deadline] of this.#deadlines) {
            if (deadline <= now) {
                this.#end(response);
            }
        }
    }

    #end(response: ServerResponse): void {
        if (this.#deadlines.delete(response)) {
            response.end();
        }
    }
}
