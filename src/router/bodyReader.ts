import type { IncomingMessage, ServerResponse } from "node:http";

interface BodyReaderOptions {
    /** Limit of one body, and of all buffered bodies together, in bytes. */
    readonly getMaxBodyBytes: () => number;
    readonly maxBufferedBytes: number;
    readonly onTooLarge: (response: ServerResponse, cause: "body-too-large" | "memory-limit") => void;
    /** Runs a handler of a request; an unexpected error in it ends the request. */
    readonly runGuarded: (response: ServerResponse, handler: () => void) => void;
}

/** Reads the bodies of requests into memory, within limits. */
export class BodyReader {
    readonly #options: BodyReaderOptions;
    #bufferedBytes = 0;

    private constructor(options: BodyReaderOptions) {
        this.#options = options;
    }

    /** Creates a reader that has buffered nothing. */
    static create(options: BodyReaderOptions): BodyReader {
        return new BodyReader(options);
    }

    /** Reads the body of a request, unless it is refused before its end; `onBody` gets `undefined` if it has none. */
    read(
        incoming: IncomingMessage,
        response: ServerResponse,
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
                onTooLarge(response, isTooLarge ? "body-too-large" : "memory-limit");
            }
        };
        incoming.on("data", (chunk: Buffer) => {
            if (!response.writableEnded) {
                runGuarded(response, () => readChunk(chunk));
            }
        });
        incoming.on("end", () => {
            if (!response.writableEnded) {
                runGuarded(response, () => onBody(hasBody ? Buffer.concat(chunks) : undefined));
            }
        });
        incoming.on("error", () => response.destroy());
        response.on("close", () => {
            this.#bufferedBytes -= length;
        });
    }
}
