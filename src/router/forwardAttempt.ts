import type { IncomingMessage } from "node:http";
import { ProgressTracker } from "../core/routing/progressTracker.js";
import type { TargetGrant } from "../core/routing/targetGrant.js";
import { findSilence } from "../core/silence/findSilence.js";
import { isValidStatus } from "../shared/isValidStatus.js";
import { createTargetExchange } from "./createTargetExchange.js";
import { findAnswerKind } from "./findAnswerKind.js";
import type { ForwardAttemptOptions } from "./forwardAttemptOptions.js";
import { PlainResponse } from "./plainResponse.js";
import { recordStatements } from "./recordStatements.js";
import type { ResponseHead } from "./responseHead.js";
import { TargetExchange } from "./targetExchange.js";
import { waitForCaller } from "./waitForCaller.js";

const OK = 200;
/** Bytes of one event; a stream that sends more without completing an event sends none. */
const MAX_EVENT_BYTES = 262_144;
/** A third of the delay that the platform allows a router to add to an event (passMs, 300 ms); covers several events. */
const BATCHING_MS = 100;

/** One attempt to serve a request at one target. */
export class ForwardAttempt {
    readonly #options: ForwardAttemptOptions;
    #exchange: ReturnType<typeof createTargetExchange> | undefined;
    #head: ResponseHead | undefined;
    #status = 0;
    receivedBytes = 0;
    #firstEventAt: number | undefined;
    /** The response, unless it is passed on as a stream. */
    readonly plain: PlainResponse;
    #startedAt: number;
    /** True while the target has not taken a connection in time. */
    #isConnectLate = false;
    /** Time in milliseconds from the start to the head of a response that is no stream; `undefined` before it. */
    headMs: number | undefined;
    /** True once the response is passed on as a stream. */
    #isStreamed = false;
    #progress: ProgressTracker;
    /** Monotonic time in milliseconds at which reading resumes; `undefined` while it is not paused. */
    #resumeAt: number | undefined;

    readonly #onBlocked = (onDrain: (listener: () => void) => void): void =>
        waitForCaller(this.#exchange, this.#progress, this.#options.getRunningTime, onDrain);

    private constructor(options: ForwardAttemptOptions) {
        this.#options = options;
        this.plain = PlainResponse.create({
            ...options,
            budget: options.memory.budget,
            onBlocked: this.#onBlocked,
        });
        this.#startedAt = options.getRunningTime();
        this.#progress = ProgressTracker.create(this.#startedAt);
    }

    /** Creates an attempt; `send` starts it. */
    static create(options: ForwardAttemptOptions): ForwardAttempt {
        return new ForwardAttempt(options);
    }

    get grant(): TargetGrant {
        return this.#options.grant;
    }

    /** Status code of the target's response, 0 before its head. */
    get status(): number {
        return this.#status;
    }

    /** True once the first event has arrived. */
    get hasEvents(): boolean {
        return this.#firstEventAt !== undefined;
    }

    /** Monotonic time in milliseconds of the first event; `undefined` before it. */
    get firstEventAt(): number | undefined {
        return this.#firstEventAt;
    }

    /** True once the complete response could be passed on as a stream, instead of as a buffered body. */
    get isStreamed(): boolean {
        return this.#isStreamed;
    }

    /** True once a byte of the request can have reached the target. */
    get isWritten(): boolean {
        return this.#exchange?.isWritten ?? false;
    }

    /** Longest silence of the target in milliseconds, before its head or after it; `undefined` for streams. */
    get longestSilenceMs(): number | undefined {
        return this.headMs === undefined
            ? undefined
            : Math.max(this.headMs, this.#progress.longestPauseMs, this.silentMs);
    }

    /** Returns the reason why the target counts as unresponsive, or `undefined` if it does not. */
    findInactivity(): string | undefined {
        const { grant, caller, watchesTarget, getNow, getRunningTime } = this.#options;
        if (this.#isConnectLate) {
            return TargetExchange.CONNECT_TIMEOUT;
        }
        return findSilence({
            activity: watchesTarget ? grant.target.activity : undefined,
            now: getRunningTime(),
            inactiveMs: this.silentMs,
            hasEvents: this.hasEvents,
            objectiveMs: caller.request.route.objectiveMs,
            expectedFirstMs: grant.expectedMs * grant.target.getTimeRatio(getNow()),
            longFirstMs: grant.target.getLongResponseMs(),
            expectedPauseMs: grant.target.getLongPauseMs(),
        });
    }

    /** Time in milliseconds since the response last made progress. */
    get silentMs(): number {
        return this.#progress.getInactiveMs(this.#options.getRunningTime());
    }

    /** Longest time in milliseconds for which the response made no progress. */
    get longestPauseMs(): number {
        return this.#progress.longestPauseMs;
    }

    /** Sends the request, on a new connection each time a target that stays has not taken one in time. */
    send(): void {
        const { runGuarded } = this.#options;
        this.#exchange = createTargetExchange(this.#options, {
            onWritten: () => runGuarded(() => this.#onWritten()),
            onHead: head => runGuarded(() => this.#onHead(head)),
            onData: chunk => runGuarded(() => this.#onData(chunk)),
            onEnd: () => runGuarded(() => this.#onEnd()),
            onFail: (reason, isWritten) => runGuarded(() => this.#onExchangeFailed(reason, isWritten)),
        });
    }

    /** Resumes reading if the batching delay has passed, so that several events are read at once. */
    resumeIfDue(now: number): void {
        if (this.#resumeAt !== undefined && this.#resumeAt <= now) {
            this.#resumeAt = undefined;
            this.#exchange?.resumeConnection();
        }
    }

    /** Stops the attempt; no further callback follows. */
    abort(): void {
        this.#exchange?.abort();
    }

    #onExchangeFailed(reason: string, isWritten: boolean): void {
        if (reason === TargetExchange.CONNECT_TIMEOUT && this.#options.isListed()) {
            this.#isConnectLate = true;
            this.send();
            return;
        }
        this.#options.onFail(isWritten ? "broken" : "not-written", reason);
    }

    #onWritten(): void {
        const { getRunningTime, onWritten } = this.#options;
        if (this.#isConnectLate) {
            this.#isConnectLate = false;
            this.#startedAt = getRunningTime();
            this.#progress = ProgressTracker.create(this.#startedAt);
        }
        onWritten();
    }

    #onHead(incoming: IncomingMessage): void {
        const { wire, caller, response, getRunningTime } = this.#options;
        this.#options.onProgress();
        const head = wire.readResponseHead(incoming);
        this.#head = head;
        this.#status = incoming.statusCode ?? 0;
        const isFirst = this.#exchange?.isFirstOnConnection ?? false;
        const kind = findAnswerKind(head, caller.request.requestId, isFirst);
        if (kind === "mismatched" || !isValidStatus(this.#status)) {
            this.#fail(kind === "mismatched" ? "answer-mismatched" : "status-invalid");
            return;
        }
        recordStatements(this.#options, head, this.#status);
        if (kind !== "answer") {
            this.#onRefusal(head, kind === "refusal");
            return;
        }
        if (caller.request.route.kind !== "stream") {
            this.#progress.recordProgress(getRunningTime());
            this.headMs = getRunningTime() - this.#startedAt;
            return;
        }
        if (response.isStarted || this.#status === OK) {
            this.#isStreamed = true;
            if (!response.startRun(this.#status, head)) {
                this.#fail("resume-refused");
            }
        }
    }

    /** A connection is not used again after a refusal without an identifier: a late copy of it could not be told from an answer. */
    #onRefusal({ requestId, isMisdirected }: ResponseHead, isCertain: boolean): void {
        const { onFail } = this.#options;
        if (requestId === undefined) {
            this.abort();
        }
        else {
            this.#exchange?.drain();
        }
        if (isCertain) {
            onFail("refused", isMisdirected ? "misdirected" : "target-full");
        }
        else {
            onFail("doubtful", "refusal-unidentified");
        }
    }

    #onData(chunk: Buffer): void {
        const { response, memory, getNow, getRunningTime, isBatching, onProgress, onFirstEvent } =
            this.#options;
        onProgress();
        memory.recordRead(chunk.length);
        this.receivedBytes += chunk.length;
        if (!this.#isStreamed) {
            this.#progress.recordBytes(chunk.length, getRunningTime());
            if (this.#head && !this.plain.add(chunk, this.#status, this.#head)) {
                this.#fail("answer-too-long");
            }
            return;
        }
        const outcome = response.writeEvents(chunk, this.#onBlocked);
        if (outcome === "mismatched") {
            this.#fail("resume-mismatched");
            return;
        }
        const hasWritten = outcome === "written";
        if (hasWritten) {
            this.#progress.recordProgress(getRunningTime());
        }
        else {
            this.#progress.recordBytes(chunk.length, getRunningTime());
        }
        if (!hasWritten && response.partialEventBytes > MAX_EVENT_BYTES) {
            this.#fail("event-too-long");
            return;
        }
        if (hasWritten && this.#firstEventAt === undefined) {
            this.#firstEventAt = getNow();
            onFirstEvent();
        }
        else if (isBatching()) {
            this.#resumeAt = getNow() + BATCHING_MS;
            this.#exchange?.pauseConnection();
        }
    }

    #onEnd(): void {
        const { response, onProgress, onComplete, onFail } = this.#options;
        onProgress();
        const head = this.#head;
        if (!head) {
            onFail("broken", "no-head");
            return;
        }
        if (this.#isStreamed && !response.isStreamComplete) {
            onFail("broken", "truncated");
            return;
        }
        onComplete(head);
    }

    #fail(reason: string): void {
        this.abort();
        this.#options.onFail("broken", reason);
    }
}
