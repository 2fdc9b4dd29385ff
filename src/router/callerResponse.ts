import type { ServerResponse } from "node:http";
import { EventStreamSplitter } from "./eventStreamSplitter.js";
import type { ResponseHead } from "./responseHead.js";
import { ResumeCheck } from "./resumeCheck.js";
import type { WireFormat } from "./wireFormat.js";

interface CallerResponseOptions {
    readonly response: ServerResponse;
    readonly wire: WireFormat;
    readonly requestId: string | undefined;
}

/** Largest body of a non-streamed response; it is buffered until complete, so that a truncated one can be replaced. */
const MAX_BUFFERED_BODY_BYTES = 262_144;
const OK = 200;

/**
 * How the response ended: `answered` with that of a target, `refused` with a status of the router, `closed` before a byte
 * of it was sent, `cut` after its beginning.
 */
type ResponseEnding = "open" | "answered" | "refused" | "closed" | "cut";

const EVENT_END = "\n\n";

/** The response to one caller, assembled from one or more attempts. */
export class CallerResponse {
    readonly #options: CallerResponseOptions;
    readonly #eventSplitter = EventStreamSplitter.create();
    /** Head of the stream that the caller has got; `undefined` before it. */
    #startedHead: ResponseHead | undefined;
    #hasWrittenEvents = false;
    /** True if an attempt ended within an event. */
    #hasLostEvent = false;
    /** Check of the current attempt, if an earlier one has started the stream. */
    #resumeCheck: ResumeCheck | undefined;
    /** False if the end of the connection delimits the response, as it does for the target's response. */
    #isFramed = true;
    #bufferedChunks: Buffer[] = [];
    #bufferedBytes = 0;
    #sentStatus: number | undefined;
    #eventsSent = 0;
    #ending: ResponseEnding = "open";

    private constructor(options: CallerResponseOptions) {
        this.#options = options;
    }

    /** Creates a response of which nothing has been sent. */
    static create(options: CallerResponseOptions): CallerResponse {
        return new CallerResponse(options);
    }

    /** True once the head of a streamed response has been sent. */
    get isStarted(): boolean {
        return this.#startedHead !== undefined;
    }

    /** Status that has been sent to the caller; `undefined` while nothing has been. */
    get sentStatus(): number | undefined {
        return this.#sentStatus;
    }

    /** Events that have been sent to the caller. */
    get eventsSent(): number {
        return this.#eventsSent;
    }

    get ending(): ResponseEnding {
        return this.#ending;
    }

    /** Identifier of the last complete event sent to the caller, or `undefined`. */
    getLastEventId(): string | undefined {
        return this.#eventSplitter.getLastEventId();
    }

    /** Bytes received of an event that is not complete. */
    get partialEventBytes(): number {
        return this.#eventSplitter.partialBytes;
    }

    /** Sends the status and headers of a stream. */
    startStream(status: number, head: ResponseHead): void {
        this.#startedHead = head;
        this.#isFramed = head.isFramed;
        const { response } = this.#options;
        if (!head.isFramed) {
            response.useChunkedEncodingByDefault = false;
        }
        response.writeHead(status, listHeadersWithoutLength(head));
    }

    /** True unless the caller has got events that another run cannot be told to go on after. */
    get isResumable(): boolean {
        return !this.#hasWrittenEvents || this.getLastEventId() !== undefined;
    }

    /** Begins another run of a started stream. Returns false if its head does not continue the stream. */
    resumeStream(status: number, head: ResponseHead): boolean {
        if (!this.#startedHead) {
            return false;
        }
        this.#resumeCheck = ResumeCheck.create({
            firstHead: this.#startedHead,
            lastEventId: this.getLastEventId(),
            isMoreExpected: this.#hasLostEvent,
        });
        return this.#resumeCheck.allowHead(status, head);
    }

    /**
     * Sends the events that a chunk completes and keeps the rest of it for the next call.
     *
     * @param onBlocked Called when the send buffer is full; its argument registers a listener for when it has drained.
     * @returns `none` if the chunk completes no event; `mismatched`, and nothing is sent, if the events do not follow those
     * that the caller has got.
     */
    writeEvents(
        chunk: Buffer,
        onBlocked: (onDrain: (listener: () => void) => void) => void,
    ): "none" | "written" | "mismatched" {
        const events = this.#eventSplitter.push(chunk);
        if (!events) {
            return "none";
        }
        if (this.#resumeCheck?.allowEvents(events) === false) {
            this.#eventSplitter.dropLastEvents();
            return "mismatched";
        }
        this.#hasWrittenEvents = true;
        this.#sentStatus ??= OK;
        this.#eventsSent += countEvents(events);
        const { response } = this.#options;
        if (!response.write(events)) {
            onBlocked(listener => response.once("drain", listener));
        }
        return "written";
    }

    /** Buffers a part of a non-streamed response. Returns false if the body exceeds the limit. */
    appendBody(chunk: Buffer): boolean {
        this.#bufferedBytes += chunk.length;
        this.#bufferedChunks.push(chunk);
        return this.#bufferedBytes <= MAX_BUFFERED_BODY_BYTES;
    }

    /** Discards the incomplete output of a failed attempt. */
    resetAttempt(): void {
        this.#hasLostEvent ||= this.#eventSplitter.hasPartialEvent;
        this.#resumeCheck = undefined;
        this.#eventSplitter.reset();
        this.#bufferedChunks = [];
        this.#bufferedBytes = 0;
    }

    /**
     * True if the end of the target's response may be forwarded as the end of the stream. The end of a connection does
     * not prove that a stream is complete, so it is not forwarded as the end of a framed response.
     */
    isStreamComplete(head: ResponseHead): boolean {
        return !this.#eventSplitter.hasPartialEvent && this.#resumeCheck?.allowEnd() !== false
            && (head.isFramed || !this.#isFramed);
    }

    /** Ends a stream as complete. */
    endStream(): void {
        this.#sentStatus ??= OK;
        this.#ending = "answered";
        this.#options.response.end();
    }

    /** Sends the buffered response. */
    sendBuffered(status: number, head: ResponseHead): void {
        const { response } = this.#options;
        const body = Buffer.concat(this.#bufferedChunks);
        const headers = listHeadersWithoutLength(head);
        if (head.isFramed) {
            headers.push("Content-Length", String(body.length));
        }
        else {
            // A Content-Length would claim that the body is complete, which only the target's framing can show.
            response.useChunkedEncodingByDefault = false;
        }
        response.writeHead(status, headers);
        response.end(body);
        this.#sentStatus = status;
        this.#ending = "answered";
    }

    /** Sends an empty response generated by the router itself. */
    sendLocalResponse(status: number, retryAfterMs: number | undefined): void {
        const { response, wire, requestId } = this.#options;
        response.writeHead(status, {
            ...wire.buildLocalResponseHeaders(requestId, retryAfterMs),
            "Content-Length": "0",
        });
        response.end();
        this.#sentStatus = status;
        this.#ending = "refused";
    }

    /** Closes the connection of a started response, so that it cannot be taken for a complete one. */
    abort(): void {
        this.#ending = this.#hasWrittenEvents ? "cut" : "closed";
        this.#options.response.destroy();
    }
}

function countEvents(events: Buffer): number {
    let count = 0;
    for (
        let end = events.indexOf(EVENT_END);
        end >= 0;
        end = events.indexOf(EVENT_END, end + EVENT_END.length)
    ) {
        count += 1;
    }
    return count;
}

/** Lists the headers to forward without Content-Length, which the router sets itself where it applies. */
function listHeadersWithoutLength(head: ResponseHead): string[] {
    const kept: string[] = [];
    const { forwardedHeaders } = head;
    for (let i = 0; i + 1 < forwardedHeaders.length; i += 2) {
        if (forwardedHeaders[i]?.toLowerCase() !== "content-length") {
            kept.push(forwardedHeaders[i] ?? "", forwardedHeaders[i + 1] ?? "");
        }
    }
    return kept;
}
