import type { Socket } from "node:net";

interface CallerByteLimitOptions {
    readonly getMaxBodyBytes: () => number;
    readonly onExceeded: (socket: Socket) => void;
}

/** Enough for what a caller sends of a body that is too large before it has read the refusal. */
const MIN_LIMIT_BYTES = 16_777_216;
/** A chunk of one byte takes this many on the way. */
const CHUNKED_FACTOR = 6;
/** Head of a request, and what follows the body. */
const HEAD_BYTES = 65_536;

/**
 * Closes connections of callers that send bytes without end. The HTTP server skips empty lines between requests, and the rest
 * of a body after the response, without a limit.
 */
export class CallerByteLimit {
    readonly #options: CallerByteLimitOptions;
    /** Bytes read from each open connection up to its last request. */
    readonly #bytesAtRequest = new Map<Socket, number>();

    private constructor(options: CallerByteLimitOptions) {
        this.#options = options;
    }

    /** Creates a limit without connections. */
    static create(options: CallerByteLimitOptions): CallerByteLimit {
        return new CallerByteLimit(options);
    }

    /** Adds a connection. */
    add(socket: Socket): void {
        this.#bytesAtRequest.set(socket, 0);
        socket.once("close", () => this.#bytesAtRequest.delete(socket));
    }

    /** Records that the head of a request has been read. */
    recordRequest(socket: Socket): void {
        this.#bytesAtRequest.set(socket, socket.bytesRead);
    }

    /** Closes the connections from which more than any accepted body has been read since their last request. */
    check(): void {
        const { getMaxBodyBytes, onExceeded } = this.#options;
        const limitBytes = Math.max(MIN_LIMIT_BYTES, CHUNKED_FACTOR * getMaxBodyBytes() + HEAD_BYTES);
        for (const [socket, bytes] of this.#bytesAtRequest) {
            if (socket.bytesRead - bytes > limitBytes) {
                onExceeded(socket);
                socket.destroy();
            }
        }
    }
}
