import type { ServerResponse } from "node:http";
import type { planRequestEnd } from "../core/routing/planRequestEnd.js";
import { endResponse } from "./endResponse.js";
import { EventStreamSplitter } from "./eventStreamSplitter.js";
import type { ResponseHead } from "./responseHead.js";
import { ResumeCheck } from "./resumeCheck.js";
import type { WireFormat } from "./wireFormat.js";

interface CallerResponseOptions {
    readonly response: ServerResponse;
    readonly wire: WireFormat;
    readonly requestId: string | undefined;
    /** Last event that the caller has got of a stream that it takes up; `undefined` for a new stream. */
    readonly resumesAfter?: string | undefined;
}

const OK = 200;
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/**
 * How the response ended: `answered` with that of a target, `refused` with a status of the router, `closed` before a byte
 * of it was sent, `cut` after its beginning.
 */
type ResponseEnding = "open" | "answered" | "refused" | "closed" | "cut";

/** State of a run of a stream that is neither current nor given up. */
interface SuspendedRun {
    readonly heldHead: ResponseHead | undefined;
    readonly resumeCheck: ResumeCheck | undefined;
    /** Bytes of an event that was not complete. */
    readonly partialEvent: Buffer;
}

const EVENT_END = "\n\n";

/** The response to one caller, assembled from one or more attempts. */
export class CallerResponse {
    readonly #options: CallerResponseOptions;
    readonly #eventSplitter: EventStreamSplitter;
    /** Head of the stream that the caller has got; `undefined` before it. */
    #startedHead: ResponseHead | undefined;
    /** Head of the current run of a stream that has not started; another run may still replace it. */
    #heldHead: ResponseHead | undefined;
    /** True if an attempt ended within an event. */
    #hasLostEvent = false;
    /** Check of the current attempt, if an earlier one has started the stream. */
    #resumeCheck: ResumeCheck | undefined;
    #sentStatus: number | undefined;
    #eventsSent = 0;
    #ending: ResponseEnding = "open";

    private constructor(options: CallerResponseOptions) {
        this.#options = options;
        this.#eventSplitter = EventStreamSplitter.create(options.resumesAfter);
    }

    /** Creates a response of which nothing has been sent. */
    static create(options: CallerResponseOptions): CallerResponse {
        return new CallerResponse(options);
    }

    /** True once bytes of a streamed response have been sent. */
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

    /** True unless the caller has got events that another run cannot be told to go on after. */
    get isResumable(): boolean {
        return !this.isStarted || this.getLastEventId() !== undefined;
    }

    /**
     * Begins a run of a stream. The head of the first one is held back until its first event or its end.
     *
     * @returns False if the run does not continue the stream that the caller has got.
     */
    startRun(status: number, head: ResponseHead): boolean {
        const { resumesAfter } = this.#options;
        if (!this.#startedHead) {
            this.#heldHead = head;
            if (resumesAfter === undefined) {
                return true;
            }
        }
        this.#resumeCheck = ResumeCheck.create({
            firstHead: this.#startedHead ?? head,
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
        if (this.#resumeCheck?.allowEvents(() => this.#eventSplitter.areLastEventsNext) === false) {
            this.#eventSplitter.dropLastEvents();
            return "mismatched";
        }
        this.#startStream();
        this.#hasLostEvent = false;
        this.#eventsSent += countEvents(events);
        const { response } = this.#options;
        if (!response.write(events)) {
            onBlocked(listener => response.once("drain", listener));
        }
        return "written";
    }

    /** Sets the current run aside while another one is tried. */
    pauseRun(): SuspendedRun {
        const run = {
            heldHead: this.#heldHead,
            resumeCheck: this.#resumeCheck,
            partialEvent: this.#eventSplitter.takePartial(),
        };
        this.#heldHead = undefined;
        this.#resumeCheck = undefined;
        this.#hasLostEvent ||= run.partialEvent.length > 0;
        return run;
    }

    /** Goes on with a run that was set aside; nothing of the one that was tried has been sent. */
    resumeRun({ heldHead, resumeCheck, partialEvent }: SuspendedRun): void {
        this.#heldHead = heldHead;
        this.#resumeCheck = resumeCheck;
        this.#eventSplitter.reset();
        this.#eventSplitter.push(partialEvent);
    }

    /** Discards the incomplete output of a failed attempt. */
    resetAttempt(): void {
        this.#hasLostEvent ||= this.#eventSplitter.hasPartialEvent;
        this.#resumeCheck = undefined;
        this.#heldHead = undefined;
        this.#eventSplitter.reset();
    }

    /**
     * True if the end of the target's response may be forwarded as the end of the stream. A connection that ends in order
     * ends a response without a length or chunks, unless that is inside an event.
     */
    get isStreamComplete(): boolean {
        return !this.#eventSplitter.hasPartialEvent && this.#resumeCheck?.allowEnd() !== false;
    }

    /** Ends a stream, or a response that was sent in parts, as complete. */
    endStream(): void {
        this.#startStream();
        this.#ending = "answered";
        this.#options.response.end();
    }

    /** Sends the buffered response of an attempt, with the length of its body also if the target stated none. */
    sendBuffered(status: number, head: ResponseHead, body: readonly Buffer[]): void {
        const { response } = this.#options;
        const hasBody = response.req.method !== "HEAD" && !STATUSES_WITHOUT_BODY.has(status);
        const length = body.reduce((sum, part) => sum + part.length, 0);
        const headers = hasBody
            ? [...listHeadersWithoutLength(head), "Content-Length", String(length)]
            : [...head.forwardedHeaders];
        response.writeHead(status, headers);
        response.cork();
        body.forEach(part => response.write(part));
        response.uncork();
        response.end();
        this.#sentStatus = status;
        this.#ending = "answered";
    }

    /** Begins to send the response of an attempt before its end. */
    startParts(status: number, head: ResponseHead): void {
        this.#options.response.writeHead(status, [...head.forwardedHeaders]);
        this.#startedHead = head;
        this.#sentStatus = status;
    }

    /**
     * Sends a part of the body.
     *
     * @param onBlocked As for `writeEvents`.
     */
    writePart(part: Buffer, onBlocked: (onDrain: (listener: () => void) => void) => void): void {
        const { response } = this.#options;
        if (!response.write(part)) {
            onBlocked(listener => response.once("drain", listener));
        }
    }

    /** Ends the response without that of a target. */
    end(end: ReturnType<typeof planRequestEnd>): void {
        const { response, wire, requestId } = this.#options;
        endResponse(response, wire, requestId, end);
        if (end.kind === "respond") {
            this.#sentStatus = end.status;
            this.#ending = "refused";
            return;
        }
        this.#ending = this.isStarted ? "cut" : "closed";
    }

    /**
     * Sends the head of a stream, once. Callers get chunks, whatever the framing of the target: the end of a connection would
     * complete a stream without framing also if this process is killed.
     */
    #startStream(): void {
        const head = this.#heldHead;
        if (this.#startedHead || !head) {
            return;
        }
        const { response } = this.#options;
        response.writeHead(OK, listHeadersWithoutLength(head));
        this.#startedHead = head;
        this.#sentStatus = OK;
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
