import type { ServerResponse } from "node:http";
import type { AnswerFacts } from "./answerFacts.js";
import { EventRelay } from "./eventRelay.js";
import type { WireFormat } from "./wireFormat.js";

interface CallerAnswerOptions {
    readonly response: ServerResponse;
    readonly wire: WireFormat;
    readonly requestId: string | undefined;
}

/** Longest body of a plain answer that is held until it is whole, so that a truncated one can be replaced. */
const MAX_HELD_BYTES = 262_144;

/** The answer to one caller, over all targets that contribute to it. */
export class CallerAnswer {
    readonly #options: CallerAnswerOptions;
    readonly #relay = EventRelay.create();
    #isStarted = false;
    /** False if the caller gets an answer that ends with its connection, like that of the target. */
    #isFramed = true;
    #held: Buffer[] = [];
    #heldBytes = 0;

    private constructor(options: CallerAnswerOptions) {
        this.#options = options;
    }

    /** Creates an answer of which nothing was sent. */
    static create(options: CallerAnswerOptions): CallerAnswer {
        return new CallerAnswer(options);
    }

    /** True once the caller has the head of the answer. */
    get isStarted(): boolean {
        return this.#isStarted;
    }

    /** Identifier of the last whole event that the caller has, or `undefined`. */
    getLastEventId(): string | undefined {
        return this.#relay.getLastEventId();
    }

    /** Sends the head of a stream. */
    startStream(status: number, facts: AnswerFacts): void {
        this.#isStarted = true;
        this.#isFramed = facts.isFramed;
        const { response } = this.#options;
        if (!facts.isFramed) {
            response.useChunkedEncodingByDefault = false;
        }
        response.writeHead(status, listHeaders(facts));
    }

    /**
     * Sends the whole events in a chunk.
     *
     * @param onBlocked Called when the caller does not keep up; the function that it gets calls back once it does.
     * @returns False if the chunk completes no event.
     */
    writeEvents(chunk: Buffer, onBlocked: (onDrain: (listener: () => void) => void) => void): boolean {
        const events = this.#relay.push(chunk);
        if (!events) {
            return false;
        }
        const { response } = this.#options;
        if (!response.write(events)) {
            onBlocked(listener => response.once("drain", listener));
        }
        return true;
    }

    /** Keeps a part of a plain answer; false if it is too long. */
    append(chunk: Buffer): boolean {
        this.#heldBytes += chunk.length;
        this.#held.push(chunk);
        return this.#heldBytes <= MAX_HELD_BYTES;
    }

    /** Drops what an unfinished attempt has left behind. */
    resetAttempt(): void {
        this.#relay.reset();
        this.#held = [];
        this.#heldBytes = 0;
    }

    /**
     * True if the end of the target's answer can be passed on as the end of the stream. The end of a connection does not
     * show that a stream is whole, so it is not passed on as the end of a framed one.
     */
    isWhole(facts: AnswerFacts): boolean {
        return !this.#relay.hasPartialEvent && (facts.isFramed || !this.#isFramed);
    }

    /** Ends a stream as complete. */
    endStream(): void {
        this.#options.response.end();
    }

    /** Sends the held answer. */
    sendHeld(status: number, facts: AnswerFacts): void {
        const { response } = this.#options;
        const body = Buffer.concat(this.#held);
        const headers = listHeaders(facts);
        if (facts.isFramed) {
            headers.push("Content-Length", String(body.length));
        }
        else {
            // A length would claim that the body is whole, which only the target's own framing could show.
            response.useChunkedEncodingByDefault = false;
        }
        response.writeHead(status, headers);
        response.end(body);
    }

    /** Sends an answer of the router itself. */
    sendOwn(status: number, retryAfterMs: number | undefined): void {
        const { response, wire, requestId } = this.#options;
        response.writeHead(status, {
            ...wire.buildOwnHeaders(requestId, retryAfterMs),
            "Content-Length": "0",
        });
        response.end();
    }

    /** Ends a started answer so that it cannot be taken for a whole one. */
    abort(): void {
        this.#options.response.destroy();
    }
}

/** The length of a stream or of a held body is stated anew. */
function listHeaders(facts: AnswerFacts): string[] {
    const kept: string[] = [];
    const { passedHeaders } = facts;
    for (let i = 0; i + 1 < passedHeaders.length; i += 2) {
        if (passedHeaders[i]?.toLowerCase() !== "content-length") {
            kept.push(passedHeaders[i] ?? "", passedHeaders[i + 1] ?? "");
        }
    }
    return kept;
}
