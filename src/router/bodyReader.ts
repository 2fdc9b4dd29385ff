import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestBody } from "./requestBody.js";
import type { RequestMemory } from "./requestMemory.js";

interface BodyReaderOptions {
    /** Limit of one body in bytes. */
    readonly getMaxBodyBytes: () => number;
    readonly memory: RequestMemory;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Called when a body is refused: it is too large, or memory is short. */
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
        const { getMaxBodyBytes, memory, onTooLarge, runGuarded } = this.#options;
        const { "content-length": declared, "transfer-encoding": encoding } = incoming.headers;
        const declaredBytes = Number(declared ?? 0);
        if (!memory.mayTake(declaredBytes)) {
            this.skip(incoming);
            onTooLarge(response, "memory-limit");
            return;
        }
        const isKnown = declared !== undefined && declaredBytes <= getMaxBodyBytes();
        let buffered: RequestBody | undefined = RequestBody.create(isKnown ? declaredBytes : undefined);
        let length = 0;
        const hasBody = declared !== undefined || encoding !== undefined;
        const readChunk = (chunk: Buffer): void => {
            length += chunk.length;
            memory.budget.add(chunk.length);
            buffered?.append(chunk);
            const isTooLarge = length > getMaxBodyBytes();
            if (isTooLarge || !memory.mayTake(0)) {
                buffered = undefined;
                this.#deadlines.delete(response);
                onTooLarge(response, isTooLarge ? "body-too-large" : "memory-limit");
            }
        };
        this.#deadlines.set(response, deadline);
        this.#timer ??= setInterval(() => this.#expire(), CHECK_INTERVAL_MS);
        incoming.on("data", (chunk: Buffer) => {
            memory.recordRead(chunk.length);
            if (!response.writableEnded) {
                runGuarded(response, () => readChunk(chunk));
            }
        });
        incoming.on("end", () => {
            this.#deadlines.delete(response);
            if (!response.writableEnded) {
                runGuarded(response, () => onBody(hasBody ? buffered?.join() : undefined));
            }
        });
        incoming.on("error", () => response.destroy());
        response.on("close", () => {
            this.#deadlines.delete(response);
            memory.budget.release(length);
        });
    }

    /** Reads a body that nobody needs, so that the connection can be used again. */
    skip(incoming: IncomingMessage): void {
        incoming.on("data", (chunk: Buffer) => this.#options.memory.recordRead(chunk.length));
    }

    /** Ends the requests whose bodies have not been read by their deadlines. */
    #expire(): void {
        const now = this.#options.getNow();
        for (const [response, deadline] of this.#deadlines) {
            if (deadline <= now) {
                this.#deadlines.delete(response);
                if (!response.writableEnded) {
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
