import type { IncomingMessage, ServerResponse } from "node:http";

interface BodyReaderOptions {
    /** Limit of one body, and of all buffered bodies together, in bytes. */
    readonly getMaxBodyBytes: () => number;
    readonly maxBufferedBytes: number;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly onTooLarge: (response: ServerResponse, cause: "body-too-large" | "memory-limit") => void;
    /** Called at the deadline of a request whose body has not been read to its end. */
    readonly onLate: (response: ServerResponse) => void;
    /** Runs a handler of a request; an unexpected error in it ends the request. */
    readonly runGuarded: (response: ServerResponse, handler: () => void) => void;
}

/** Callers tolerate half a second beyond a deadline. */
const CHECK_INTERVAL_MS = 50;

/** Reads the bodies of requests into memory, within limits. */
export class BodyReader {
    readonly #options: BodyReaderOptions;
    #bufferedBytes = 0;
    /** Requests whose bodies are being read, with their deadlines in monotonic milliseconds. */
    readonly #deadlines = new Map<ServerResponse, number>();
    /** Set while bodies are being read. */
    #timer: NodeJS.Timeout | undefined;

    private constructor(options: BodyReaderOptions) {
        this.#options = options;
    }

    /** Creates a reader that has buffered nothing. */
    static create(options: BodyReaderOptions): BodyReader {
        return new BodyReader(options);
    }

    /**
     * Reads the body of a request, unless it is refused before its end; `onBody` gets `undefined` if it has none.
     *
     * @param deadline Monotonic time in milliseconds.
     */
    read(
        incoming: IncomingMessage,
        response: ServerResponse,
        deadline: number,
        onBody: (body: Buffer | undefined) => void,
    ): void {
        const { getMaxBodyBytes, maxBufferedBytes, onTooLarge, runGuarded } = this.#options;
        const chunks: Buffer[] = [];
        let length = 0;
        const hasBody = incoming.headers["content-length"] !== undefined
            || incoming.headers["transfer-encoding"] !== undefined;
        const readChunk = (chunk: Buffer): void => {
            length += chunk.length;
            this.#bufferedBytes += chunk.length;
            chunks.push(chunk);
            const isTooLarge = length > getMaxBodyBytes();
            if (isTooLarge || this.#bufferedBytes > maxBufferedBytes) {
                chunks.length = 0;
                this.#deadlines.delete(response);
                onTooLarge(response, isTooLarge ? "body-too-large" : "memory-limit");
            }
        };
        this.#deadlines.set(response, deadline);
        this.#timer ??= setInterval(() => this.#expire(), CHECK_INTERVAL_MS);
        incoming.on("data", (chunk: Buffer) => {
            if (!response.headersSent) {
                runGuarded(response, () => readChunk(chunk));
            }
        });
        incoming.on("end", () => {
            this.#deadlines.delete(response);
            if (!response.headersSent) {
                runGuarded(response, () => onBody(hasBody ? Buffer.concat(chunks) : undefined));
            }
        });
        incoming.on("error", () => response.destroy());
        response.on("close", () => {
            this.#deadlines.delete(response);
            this.#bufferedBytes -= length;
        });
    }

    /** Ends the requests whose bodies have not been read by their deadlines. */
    #expire(): void {
        const now = this.#options.getNow();
        for (const [response, deadline] of this.#deadlines) {
            if (deadline <= now) {
                this.#deadlines.delete(response);
                if (!response.headersSent) {
                    this.#options.runGuarded(response, () => this.#options.onLate(response));
                }
            }
        }
        if (this.#deadlines.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }
}
