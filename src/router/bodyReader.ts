import type { IncomingMessage, ServerResponse } from "node:http";
import { CollectedBytes } from "../core/bodies/collectedBytes.js";
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

/** The buffer of a part takes this much memory until it is collected, beside its content. */
const PART_BYTES = 256;

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
        let buffered: CollectedBytes | undefined = CollectedBytes.create(
            isKnown ? declaredBytes : getMaxBodyBytes(),
        );
        const hasBody = declared !== undefined || encoding !== undefined;
        let heldBytes = 0;
        const drop = (): void => {
            // The listeners below keep the request alive while its connection is open.
            buffered = undefined;
            this.#deadlines.delete(response);
            memory.budget.release(heldBytes);
            heldBytes = 0;
        };
        const refuse = (cause: "body-too-large" | "memory-limit"): void => {
            drop();
            onTooLarge(response, cause);
        };
        const readChunk = (chunk: Buffer, body: CollectedBytes): void => {
            if (body.length + chunk.length > getMaxBodyBytes()) {
                refuse("body-too-large");
                return;
            }
            if (!memory.mayTake(body.computeGrowth(chunk.length))) {
                refuse("memory-limit");
                return;
            }
            body.append(chunk);
            memory.budget.add(body.heldBytes - heldBytes);
            heldBytes = body.heldBytes;
        };
        this.#deadlines.set(response, deadline);
        this.#timer ??= setInterval(() => this.#expire(), CHECK_INTERVAL_MS);
        incoming.on("data", (chunk: Buffer) => {
            memory.recordRead(chunk.length + PART_BYTES);
            const body = buffered;
            if (body && !response.writableEnded) {
                runGuarded(response, () => readChunk(chunk, body));
            }
        });
        incoming.on("end", () => {
            this.#deadlines.delete(response);
            if (!response.writableEnded) {
                const body = hasBody ? buffered?.join() : undefined;
                memory.budget.add((buffered?.heldBytes ?? 0) - heldBytes);
                heldBytes = buffered?.heldBytes ?? 0;
                buffered = undefined;
                runGuarded(response, () => onBody(body));
            }
        });
        incoming.on("error", () => response.destroy());
        // Refused before the end of its body, a response ends while the connection goes on.
        response.on("finish", () => buffered ? drop() : undefined);
        response.on("close", drop);
    }

    /** Reads a body that nobody needs, so that the connection can be used again. */
    skip(incoming: IncomingMessage): void {
        incoming.on("data", (chunk: Buffer) => this.#options.memory.recordRead(chunk.length + PART_BYTES));
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
