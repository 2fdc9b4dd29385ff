import { EventStreamParser } from "../../adapters/target/eventStreamParser.js";
import { parseUsage } from "../../adapters/target/parseUsage.js";
import type { ResponseSink } from "../../adapters/target/responseSink.js";
import { CollectedBytes } from "../../core/bodies/collectedBytes.js";
import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { HttpHeaders } from "../../core/request/httpHeaders.js";
import type { ResponseWriter } from "../../core/request/responseWriter.js";
import { selectEndToEndHeaders } from "../../core/request/selectEndToEndHeaders.js";
import type { TokenUsage } from "../../core/request/tokenUsage.js";
import type { Metrics } from "../../observability/metrics.js";

interface ResponseRelayOptions {
    readonly request: CallerRequest;
    readonly writer: ResponseWriter;
    readonly metrics: Metrics;
    readonly getNow: () => number;
}

type Mode = "events" | "buffer" | "through";

/** Responses up to this size are sent only once complete, so that a truncated one can still be retried. */
const MAX_BUFFERED_BYTES = 262_144;
/** Tokens are charged in batches to keep the cost of accounting per token low. */
const CHARGE_BATCH_TOKENS = 16;
const OK_STATUS = 200;
/** Response headers for the entry itself, which are not forwarded to the caller. */
const INTERNAL_HEADERS: ReadonlySet<string> = new Set(["x-request-id", "x-target-state", "x-not-run"]);
const STREAM_HEADERS: ReadonlySet<string> = new Set([...INTERNAL_HEADERS, "content-length"]);

/** Relays the response to one request to its caller, across the attempts at all targets that contribute to it. */
export class ResponseRelay implements ResponseSink {
    readonly #options: ResponseRelayOptions;
    readonly #parser = EventStreamParser.create();
    #charge: (tokens: number) => void = () => {};
    #mode: Mode = "buffer";
    #status = 0;
    #headers: HttpHeaders = {};
    #buffered = CollectedBytes.create(MAX_BUFFERED_BYTES);
    #attemptBytes = 0;
    #isResponseStarted = false;
    #isStreamStarted = false;
    #attemptTokens = 0;
    #unchargedTokens = 0;
    #lastTokenAt: number | undefined;
    #bufferedUsage: TokenUsage | undefined;

    private constructor(options: ResponseRelayOptions) {
        this.#options = options;
    }

    /** Creates the relay of one request. */
    static create(options: ResponseRelayOptions): ResponseRelay {
        return new ResponseRelay(options);
    }

    /** True once the caller has been sent a part of the response. */
    get isResponseStarted(): boolean {
        return this.#isResponseStarted;
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
    get attemptBytes(): number {
        return this.#attemptBytes;
    }

    /** Tokens received in the current attempt. */
    get attemptTokens(): number {
        return this.#attemptTokens;
    }

    /** Token counts of the complete response, if the target reported them. */
    get usage(): TokenUsage | undefined {
        return this.#parser.usage ?? this.#bufferedUsage;
    }

    /**
     * Starts an attempt and discards what an earlier one left incomplete.
     *
     * @param charge Charges a number of tokens to the client account.
     */
    startAttempt(charge: (tokens: number) => void): void {
        this.#charge = charge;
        this.#parser.reset();
        this.#buffered = CollectedBytes.create(MAX_BUFFERED_BYTES);
        this.#attemptBytes = 0;
        this.#attemptTokens = 0;
    }

    onHead(status: number, headers: HttpHeaders): void {
        this.#status = status;
        this.#headers = headers;
        const isEventStream = this.#options.request.isStream && status === OK_STATUS
            && String(headers["content-type"]).startsWith("text/event-stream");
        if (isEventStream || this.#isStreamStarted) {
            this.#mode = "events";
            this.#startStream();
            return;
        }
        const contentLength = Number(headers["content-length"] ?? Number.POSITIVE_INFINITY);
        this.#mode = contentLength <= MAX_BUFFERED_BYTES || this.#options.request.service.kind === "model"
            ? "buffer"
            : "through";
        if (this.#mode === "through") {
            this.#startPlainResponse();
        }
    }

    onData(chunk: Buffer): "more" | "wait" | "faulty" {
        this.#attemptBytes += chunk.length;
        if (this.#mode === "events") {
            return this.#forwardEvents(chunk);
        }
        if (this.#mode === "through") {
            return this.#options.writer.write(chunk) ? "more" : "wait";
        }
        this.#buffered.append(chunk);
        if (this.#attemptBytes <= MAX_BUFFERED_BYTES) {
            return "more";
        }
        this.#mode = "through";
        this.#startPlainResponse();
        return this.#flushBuffer() ? "more" : "wait";
    }

    onDrain(listener: () => void): void {
        this.#options.writer.onDrain(listener);
    }

    isComplete(isFramingComplete: boolean): boolean {
        return this.#mode === "events" ? this.#parser.isComplete : isFramingComplete;
    }

    /** Ends the response to the caller after an attempt that completed it. */
    finish(): void {
        this.#flushCharges();
        if (this.#mode === "buffer") {
            this.#bufferedUsage = tryParseUsage(this.#buffered.join());
            this.#startPlainResponse();
            this.#flushBuffer();
        }
        this.#options.writer.end();
    }

    /** Charges the tokens of the current attempt that are not charged yet. */
    chargeRemainingTokens(): void {
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
        if (!this.#isResponseStarted) {
            this.#options.writer.writeHead(
                this.#status,
                selectEndToEndHeaders(this.#headers, STREAM_HEADERS),
            );
        }
        this.#isResponseStarted = true;
        this.#isStreamStarted = true;
    }

    #startPlainResponse(): void {
        this.#options.writer.writeHead(this.#status, selectEndToEndHeaders(this.#headers, INTERNAL_HEADERS));
        this.#isResponseStarted = true;
    }

    #flushBuffer(): boolean {
        const body = this.#buffered.join();
        const isWritable = body.length === 0 || this.#options.writer.write(body);
        this.#buffered = CollectedBytes.create(MAX_BUFFERED_BYTES);
        return isWritable;
    }
}

function tryParseUsage(body: Buffer): TokenUsage | undefined {
    try {
        return parseUsage(JSON.parse(body.toString("utf8")));
    }
    catch {
        return undefined;
    }
}
