import type { AnswerSink } from "../../adapters/target/answerSink.js";
import { EventStreamParser } from "../../adapters/target/eventStreamParser.js";
import { parseUsage } from "../../adapters/target/parseUsage.js";
import type { AnswerWriter } from "../../core/request/answerWriter.js";
import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { HttpHeaders } from "../../core/request/httpHeaders.js";
import { selectEndToEndHeaders } from "../../core/request/selectEndToEndHeaders.js";
import type { TokenUsage } from "../../core/request/tokenUsage.js";
import type { Metrics } from "../../observability/metrics.js";

interface AnswerRelayOptions {
    readonly request: CallerRequest;
    readonly writer: AnswerWriter;
    readonly metrics: Metrics;
    readonly getNow: () => number;
}

type Mode = "events" | "buffer" | "through";

/** Responses up to this size are sent only once complete, so that a truncated one can still be retried. */
const MAX_BUFFERED_BYTES = 262_144;
/** Tokens are charged in batches to keep the cost of accounting per token low. */
const CHARGE_BATCH_TOKENS = 16;
const OK = 200;
/** Response headers for the entry itself, which are not forwarded to the caller. */
const INTERNAL_HEADERS: ReadonlySet<string> = new Set(["x-request-id", "x-target-state", "x-not-run"]);
const STREAM_HEADERS: ReadonlySet<string> = new Set([...INTERNAL_HEADERS, "content-length"]);

/** Relays the response to one request to its caller, across the attempts at all targets that contribute to it. */
export class AnswerRelay implements AnswerSink {
    readonly #options: AnswerRelayOptions;
    readonly #parser = EventStreamParser.create();
    #charge: (tokens: number) => void = () => {};
    #mode: Mode = "buffer";
    #status = 0;
    #headers: HttpHeaders = {};
    #buffered: Buffer[] = [];
    #bytes = 0;
    #isAnswerStarted = false;
    #isStreamStarted = false;
    #attemptTokens = 0;
    #unchargedTokens = 0;
    #lastTokenAt: number | undefined;
    #wholeUsage: TokenUsage | undefined;

    private constructor(options: AnswerRelayOptions) {
        this.#options = options;
    }

    /** Creates the relay of one request. */
    static create(options: AnswerRelayOptions): AnswerRelay {
        return new AnswerRelay(options);
    }

    /** True once the caller has been sent a part of the response. */
    get isAnswerStarted(): boolean {
        return this.#isAnswerStarted;
    }

    /** True if the caller has been sent a part of a token stream, which another target can continue. */
    get isResumable(): boolean {
        return this.#isStreamStarted;
    }

    /** Index of the next token expected in the stream. */
    get nextIndex(): number {
        return this.#parser.nextIndex;
    }

    /** Bytes received in the current attempt. */
    get bytes(): number {
        return this.#bytes;
    }

    /** Tokens received in the current attempt. */
    get attemptTokens(): number {
        return this.#attemptTokens;
    }

    /** Token counts of the complete response, if the target reported them. */
    get usage(): TokenUsage | undefined {
        return this.#parser.usage ?? this.#wholeUsage;
    }

    /**
     * Starts an attempt and discards what an earlier one left incomplete.
     *
     * @param charge Charges a number of tokens to the client account.
     */
    startAttempt(charge: (tokens: number) => void): void {
        this.#charge = charge;
        this.#parser.reset();
        this.#buffered = [];
        this.#bytes = 0;
        this.#attemptTokens = 0;
    }

    onHead(status: number, headers: HttpHeaders): void {
        this.#status = status;
        this.#headers = headers;
        const isEvents = this.#options.request.isStream && status === OK
            && String(headers["content-type"]).startsWith("text/event-stream");
        if (isEvents || this.#isStreamStarted) {
            this.#mode = "events";
            this.#startStream();
            return;
        }
        const length = Number(headers["content-length"] ?? Number.POSITIVE_INFINITY);
        this.#mode = length <= MAX_BUFFERED_BYTES || this.#options.request.service.kind === "model"
            ? "buffer"
            : "through";
        if (this.#mode === "through") {
            this.#startPlain();
        }
    }

    onData(chunk: Buffer): "more" | "wait" | "faulty" {
        this.#bytes += chunk.length;
        if (this.#mode === "events") {
            return this.#forwardEvents(chunk);
        }
        if (this.#mode === "through") {
            return this.#options.writer.write(chunk) ? "more" : "wait";
        }
        this.#buffered.push(chunk);
        if (this.#bytes <= MAX_BUFFERED_BYTES) {
            return "more";
        }
        this.#mode = "through";
        this.#startPlain();
        return this.#flushBuffer() ? "more" : "wait";
    }

    onDrain(listener: () => void): void {
        this.#options.writer.onDrain(listener);
    }

    isWhole(isFramingComplete: boolean): boolean {
        return this.#mode === "events" ? this.#parser.isWhole : isFramingComplete;
    }

    /** Ends the response to the caller after an attempt that completed it. */
    finish(): void {
        this.#flushCharges();
        if (this.#mode === "buffer") {
            this.#wholeUsage = tryParseWholeUsage(this.#buffered);
            this.#startPlain();
            this.#flushBuffer();
        }
        this.#options.writer.end();
    }

    /** Charges the tokens of the current attempt that are not charged yet. */
    stopAttempt(): void {
        this.#flushCharges();
    }

    #forwardEvents(chunk: Buffer): "more" | "wait" | "faulty" {
        const events = this.#parser.append(chunk);
        let isWritable = true;
        for (const part of events.parts) {
            isWritable = this.#options.writer.write(part) && isWritable;
        }
        this.#countTokens(events.tokens);
        if (events.isFaulty) {
            return "faulty";
        }
        return isWritable ? "more" : "wait";
    }

    #countTokens(tokens: number): void {
        if (tokens === 0) {
            return;
        }
        const now = this.#options.getNow();
        if (this.#lastTokenAt === undefined) {
            this.#options.metrics.observeLatency(
                "time_to_first_token",
                now - this.#options.request.receivedAt,
            );
        }
        else {
            this.#options.metrics.observeLatency("between_tokens", now - this.#lastTokenAt);
        }
        this.#lastTokenAt = now;
        this.#attemptTokens += tokens;
        this.#unchargedTokens += tokens;
        if (this.#unchargedTokens >= CHARGE_BATCH_TOKENS) {
            this.#flushCharges();
        }
    }

    #flushCharges(): void {
        if (this.#unchargedTokens > 0) {
            this.#charge(this.#unchargedTokens);
            this.#unchargedTokens = 0;
        }
    }

    #startStream(): void {
        if (!this.#isAnswerStarted) {
            this.#options.writer.writeHead(
                this.#status,
                selectEndToEndHeaders(this.#headers, STREAM_HEADERS),
            );
        }
        this.#isAnswerStarted = true;
        this.#isStreamStarted = true;
    }

    #startPlain(): void {
        this.#options.writer.writeHead(this.#status, selectEndToEndHeaders(this.#headers, INTERNAL_HEADERS));
        this.#isAnswerStarted = true;
    }

    #flushBuffer(): boolean {
        let isWritable = true;
        for (const chunk of this.#buffered) {
            isWritable = this.#options.writer.write(chunk);
        }
        this.#buffered = [];
        return isWritable;
    }
}

function tryParseWholeUsage(chunks: readonly Buffer[]): TokenUsage | undefined {
    try {
        return parseUsage(JSON.parse(Buffer.concat(chunks).toString("utf8")));
    }
    catch {
        return undefined;
    }
}
