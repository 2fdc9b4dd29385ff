import type { TokenUsage } from "../../core/request/tokenUsage.js";
import type { ParsedEvents } from "./parsedEvents.js";
import { parseUsage } from "./parseUsage.js";

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const EMPTY = Buffer.alloc(0);
/** Limits the memory that a stream without event ends can take. */
const MAX_EVENT_BYTES = 1_048_576;

type EventKind = "token" | "other" | "repeated" | "faulty";

/**
 * Validates the token streams of one request, across all targets that resume it. Forwards events unchanged and
 * holds back an event until its end has arrived, so that a resumed stream never follows a partial event.
 *
 * @remarks Event stream format of the WHATWG HTML standard, section 9.2.
 */
export class EventStreamParser {
    #partialEvent: Buffer = EMPTY;
    #nextIndex = 0;
    #usage: TokenUsage | undefined;
    #isDone = false;

    private constructor() {}

    /** Creates a parser that expects token 0. */
    static create(): EventStreamParser {
        return new EventStreamParser();
    }

    /** Index of the next token that the caller needs. */
    get nextIndex(): number {
        return this.#nextIndex;
    }

    /** Latest token counts that an event reported. */
    get usage(): TokenUsage | undefined {
        return this.#usage;
    }

    /** True once an event with `usage` and, after it, `data: [DONE]` have arrived. */
    get isComplete(): boolean {
        return this.#isDone;
    }

    /** Discards the incomplete event of a broken stream. */
    reset(): void {
        this.#partialEvent = EMPTY;
    }

    /** Parses the next bytes of the stream. */
    append(chunk: Buffer): ParsedEvents {
        const data = this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
        const parts: Uint8Array[] = [];
        let tokens = 0;
        let start = 0;
        let partStart = 0;
        for (let end = findEventEnd(data, 0); end >= 0 && !this.#isDone; end = findEventEnd(data, start)) {
            const kind = this.#readEvent(data.toString("utf8", start, end));
            if (kind === "repeated" || kind === "faulty") {
                addPart(parts, data, partStart, start);
                partStart = end;
            }
            if (kind === "faulty") {
                return { parts, tokens, isFaulty: true };
            }
            tokens += kind === "token" ? 1 : 0;
            start = end;
        }
        addPart(parts, data, partStart, start);
        this.#partialEvent = data.subarray(start);
        return { parts, tokens, isFaulty: this.#partialEvent.length > MAX_EVENT_BYTES };
    }

    #readEvent(event: string): EventKind {
        const payload = parsePayload(event);
        if (payload === "") {
            return "other";
        }
        if (payload === "[DONE]") {
            this.#isDone = this.#usage !== undefined;
            return this.#isDone ? "other" : "faulty";
        }
        const value = tryParseObject(payload);
        if (value === undefined || "error" in value) {
            return "faulty";
        }
        const index = value["index"];
        if (typeof index !== "number") {
            this.#usage = parseUsage(value) ?? this.#usage;
            return "other";
        }
        if (index > this.#nextIndex) {
            return "faulty";
        }
        this.#usage = parseUsage(value) ?? this.#usage;
        if (index < this.#nextIndex) {
            return "repeated";
        }
        this.#nextIndex += 1;
        return "token";
    }
}

function addPart(parts: Uint8Array[], data: Buffer, start: number, end: number): void {
    if (end > start) {
        parts.push(data.subarray(start, end));
    }
}

function findEventEnd(data: Buffer, from: number): number {
    for (let at = data.indexOf(LINE_FEED, from); at >= 0; at = data.indexOf(LINE_FEED, at + 1)) {
        if (data[at + 1] === LINE_FEED) {
            return at + 2;
        }
        if (data[at + 1] === CARRIAGE_RETURN && data[at + 2] === LINE_FEED) {
            return at + 3;
        }
    }
    return -1;
}

function parsePayload(event: string): string {
    return event.split("\n")
        .filter(line => line.startsWith("data:"))
        .map(line => line.slice("data:".length).trim())
        .join("\n");
}

function tryParseObject(payload: string): Readonly<Record<string, unknown>> | undefined {
    try {
        const value: unknown = JSON.parse(payload);
        return typeof value === "object" && value !== null ? value as Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}
