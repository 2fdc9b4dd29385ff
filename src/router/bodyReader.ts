import type { IncomingMessage, ServerResponse } from "node:http";
import { BodyProgress } from "../core/bodies/bodyProgress.js";
import { CollectedBytes } from "../core/bodies/collectedBytes.js";
import { OpenBodies } from "../core/bodies/openBodies.js";
import type { RequestMemory } from "./requestMemory.js";

/**
 * Why a body is not read to its end: it is too large, memory is short, nothing of it arrives, it progresses least while memory is
 * short, or the deadline of its request has passed.
 */
type Cause = "body-too-large" | "memory-limit" | "body-stalled" | "body-shed" | "read-too-late";

interface BodyReaderOptions {
    /** Limit of one body in bytes. */
    readonly getMaxBodyBytes: () => number;
    readonly memory: RequestMemory;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Longest time in milliseconds for which no byte of the content of a body arrives. */
    readonly getMaxIdleMs: () => number;
    /** Called when a request ends before its body has been read. */
    readonly onRefused: (response: ServerResponse, cause: Cause) => void;
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
    readonly #open = OpenBodies.create();
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
        const { getMaxBodyBytes, memory, onRefused, runGuarded } = this.#options;
        const { "content-length": declared, "transfer-encoding": encoding } = incoming.headers;
        const declaredBytes = Number(declared ?? 0);
        const isKnown = declared !== undefined && declaredBytes <= getMaxBodyBytes();
        // A longer body is refused as such; room for what it declares would be made by ending all others.
        if (!this.#tryMakeRoom(isKnown ? declaredBytes : 0)) {
            this.skip(incoming);
            onRefused(response, "memory-limit");
            return;
        }
        let buffered: CollectedBytes | undefined = CollectedBytes.create(
            isKnown ? declaredBytes : getMaxBodyBytes(),
        );
        const hasBody = declared !== undefined || encoding !== undefined;
        let heldBytes = 0;
        const progress = BodyProgress.create(this.#open.now);
        const drop = (): void => {
            // The listeners below keep the request alive while its connection is open.
            buffered = undefined;
            this.#deadlines.delete(response);
            this.#open.delete(progress);
            memory.budget.release(heldBytes);
            heldBytes = 0;
        };
        const refuse = (cause: Cause): void => {
            drop();
            onRefused(response, cause);
        };
        const readChunk = (chunk: Buffer, body: CollectedBytes): void => {
            if (body.length + chunk.length > getMaxBodyBytes()) {
                refuse("body-too-large");
                return;
            }
            const growth = body.computeGrowth(chunk.length);
            const hasRoom = growth === 0 || this.#tryMakeRoom(growth);
            if (!buffered) {
                // It was itself the one that progresses least.
                return;
            }
            if (!hasRoom) {
                refuse("memory-limit");
                return;
            }
            body.append(chunk);
            memory.budget.add(body.heldBytes - heldBytes);
            heldBytes = body.heldBytes;
            progress.record(chunk.length, heldBytes, this.#open.now);
        };
        this.#deadlines.set(response, deadline);
        this.#open.add({
            progress,
            end: cause => response.writableEnded ? drop() : runGuarded(response, () => refuse(cause)),
        });
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
            this.#open.delete(progress);
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

    /**
     * Makes room for further bytes of a body, if need be by ending bodies that have been without progress for a while; none if
     * that would not free enough. While the process is near its limit, one is ended for each part that others send: what is freed
     * shows only later.
     */
    #tryMakeRoom(bytes: number): boolean {
        const { memory } = this.#options;
        while (!memory.mayTake(bytes)) {
            if (!memory.budget.has(bytes - this.#open.sumEndableBytes()) || !this.#open.tryEndOne()) {
                return false;
            }
            if (memory.isScarce) {
                return memory.budget.has(bytes);
            }
        }
        return true;
    }

    /** Ends the requests whose bodies have not been read by their deadlines. */
    #expire(): void {
        const { getNow, getMaxIdleMs, memory } = this.#options;
        this.#open.advance(CHECK_INTERVAL_MS, getMaxIdleMs());
        if (memory.isScarce) {
            this.#open.tryEndOne();
        }
        const now = getNow();
        for (const [response, deadline] of this.#deadlines) {
            if (deadline <= now) {
                this.#deadlines.delete(response);
                if (!response.writableEnded) {
                    this.#options.runGuarded(
                        response,
                        () => this.#options.onRefused(response, "read-too-late"),
                    );
                }
            }
        }
        if (this.#deadlines.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }
}
