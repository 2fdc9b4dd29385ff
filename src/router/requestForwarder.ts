import { planNextAttempt } from "../core/routing/planNextAttempt.js";
import type { TargetGrant } from "../core/routing/targetGrant.js";
import type { WaitingRequest } from "../core/routing/waitingRequest.js";
import { CallerResponse } from "./callerResponse.js";
import { describeAttemptFailure } from "./describeAttemptFailure.js";
import { describeRequestEnd } from "./describeRequestEnd.js";
import { describeResponseEnd } from "./describeResponseEnd.js";
import { ForwardAttempt } from "./forwardAttempt.js";
import { recordAttemptFailure } from "./recordAttemptFailure.js";
import { recordAttemptSuccess } from "./recordAttemptSuccess.js";
import type { RequestForwarderOptions } from "./requestForwarderOptions.js";
import type { ResponseHead } from "./responseHead.js";
import { takeRetry } from "./takeRetry.js";

type FailureKind = "not-written" | "refused" | "broken";

const RETRY_AFTER_MS = 300;
const SERVICE_UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;
const FIRST_SERVER_ERROR = 500;

/** Serves one request: waits for a target, forwards the request and the response, and retries where that is safe. */
export class RequestForwarder {
    readonly #options: RequestForwarderOptions;
    readonly #response: CallerResponse;
    readonly #excludedTargets = new Set<string>();
    readonly #isStream: boolean;
    /** True for `safe` requests and resumable streams; all others are executed at most once. */
    readonly #isRepeatable: boolean;
    #waiting: WaitingRequest | undefined;
    #attempt: ForwardAttempt | undefined;
    /** Attempts that a target may have executed, and all attempts. */
    #executions = 0;
    #attempts = 0;
    #lastAttempt: ForwardAttempt | undefined;
    /** What the last failed attempt lacked for a retry. */
    #lacking: string | undefined;
    #isEnded = false;

    private constructor(options: RequestForwarderOptions) {
        this.#options = options;
        const { request, response } = options.exchange;
        this.#isStream = request.route.kind === "stream";
        this.#isRepeatable = request.route.kind === "safe" || (this.#isStream && request.route.isResumable);
        this.#response = CallerResponse.create({
            response,
            wire: options.wire,
            requestId: request.requestId,
        });
    }

    /** Creates the forwarder of one request; `start` begins to serve it. */
    static create(options: RequestForwarderOptions): RequestForwarder {
        return new RequestForwarder(options);
    }

    /** Starts to serve the request. */
    start(): void {
        this.#options.exchange.response.on("close", () => this.#onCallerClosed());
        this.#enqueue();
    }

    /** Ends the request past its deadline, fails the attempt of an unresponsive target and resumes paused reading. */
    checkTimeouts(now: number): void {
        const { request } = this.#options.exchange;
        this.#attempt?.resumeIfDue(now);
        if (now >= request.deadline) {
            this.#expire();
            return;
        }
        const attempt = this.#attempt;
        if (!attempt || !this.#isRepeatable || this.#executions >= request.route.maxAttempts) {
            return;
        }
        const reason = attempt.findInactivity();
        if (reason !== undefined) {
            attempt.abort();
            this.#failAttempt(attempt, "broken", reason);
        }
    }

    /** Closes the caller's connection after an unexpected error; nothing is claimed about the request. */
    abort(): void {
        this.#response.abort();
    }

    #enqueue(): void {
        const { exchange: { request }, scheduler, getNow } = this.#options;
        this.#waiting = {
            request,
            excludedTargets: this.#excludedTargets,
            isResume: this.#attempts > 0,
            onGrant: grant => this.#send(grant),
            onRefuse: ({ reason, retryAfterMs, shareRatio }) => {
                this.#waiting = undefined;
                this.#refuse(this.#getFailureStatus(), reason, retryAfterMs, shareRatio);
            },
        };
        scheduler.enqueue(this.#waiting, getNow());
    }

    #send(grant: TargetGrant): void {
        const { exchange, targetAgents, scheduler, getNow } = this.#options;
        this.#waiting = undefined;
        this.#attempts += 1;
        this.#executions += 1;
        const attempt: ForwardAttempt = ForwardAttempt.create({
            ...this.#options,
            grant,
            caller: exchange,
            response: this.#response,
            agent: targetAgents.getAgent(exchange.request.route, this.#isRepeatable),
            onFirstEvent: () => scheduler.start(grant, getNow()),
            onComplete: head => this.#onComplete(attempt, head),
            onFail: (kind, reason) => this.#failAttempt(attempt, kind, reason),
        });
        this.#attempt = this.#lastAttempt = attempt;
        attempt.send();
    }

    #onComplete(attempt: ForwardAttempt, head: ResponseHead): void {
        const { status } = attempt;
        const { exchange, getNow } = this.#options;
        recordAttemptSuccess(this.#options, exchange.request, attempt, head, getNow());
        if (this.#response.isStarted) {
            this.#finishAttempt(attempt, true);
            this.#response.endStream();
            this.#end("served", attempt);
            return;
        }
        const isError = status >= FIRST_SERVER_ERROR;
        if (isError && status !== GATEWAY_TIMEOUT && this.#planNextAttempt() === "retry") {
            this.#failAttempt(attempt, "broken", "target-error", () => this.#sendBuffered(attempt, head));
            return;
        }
        this.#finishAttempt(attempt, !isError);
        this.#sendBuffered(attempt, head);
    }

    #sendBuffered(attempt: ForwardAttempt, head: ResponseHead): void {
        this.#response.sendBuffered(attempt.status, head);
        this.#end("served", attempt);
    }

    #planNextAttempt(): ReturnType<typeof planNextAttempt> {
        const { exchange, getNow } = this.#options;
        return planNextAttempt({
            isRepeatable: this.#isRepeatable && this.#response.isResumable,
            runs: this.#executions,
            attempts: this.#attempts,
            maxRuns: exchange.request.route.maxAttempts,
            now: getNow(),
            deadline: exchange.request.deadline,
        });
    }

    #finishAttempt(attempt: ForwardAttempt, isSuccess: boolean): void {
        const { scheduler, getNow } = this.#options;
        const now = getNow();
        this.#attempt = undefined;
        attempt.grant.target.recordResult(isSuccess, now);
        if (isSuccess && attempt.hasEvents) {
            attempt.grant.target.recordPause(attempt.longestPauseMs);
        }
        scheduler.release(attempt.grant, attempt.hasEvents, now);
    }

    /** @param onFinal Responds to the caller if there is no retry; by default the request is refused. */
    #failAttempt(
        attempt: ForwardAttempt,
        kind: FailureKind,
        reason: string,
        onFinal: () => void = () => this.#fail(reason),
    ): void {
        if (this.#attempt !== attempt) {
            return;
        }
        const { exchange: { request }, retryBudget, crashRecord, crashDetector, log, getNow } = this.#options;
        const now = getNow();
        const mayHaveCrashed = recordAttemptFailure(crashDetector, request, attempt, kind, reason, now);
        this.#excludedTargets.add(attempt.grant.target.descriptor.id);
        if (kind !== "broken") {
            this.#executions -= 1;
        }
        this.#finishAttempt(attempt, kind === "refused");
        const isSuspect = mayHaveCrashed && crashRecord.isSuspect(request);
        const plan = this.#planNextAttempt();
        this.#lacking = isSuspect ? "crash-suspect" : takeRetry(plan, retryBudget, now);
        const willRetry = this.#lacking === undefined;
        const failure = { kind, reason, attempts: this.#attempts, willRetry, lacking: this.#lacking };
        log.write("attempt-failed", { ...describeAttemptFailure(request, attempt, kind, now), ...failure });
        if (!willRetry) {
            onFinal();
            return;
        }
        this.#response.resetAttempt();
        this.#enqueue();
    }

    #fail(reason: string): void {
        const { exchange: { request }, scheduler, getNow } = this.#options;
        const pauseMs = scheduler.prospects.findPauseReturn(request, getNow()) ?? 0;
        this.#refuse(this.#getFailureStatus(), reason, Math.max(RETRY_AFTER_MS, pauseMs));
    }

    #getFailureStatus(afterExecution = BAD_GATEWAY): number {
        return this.#executions > 0 ? afterExecution : SERVICE_UNAVAILABLE;
    }

    #expire(): void {
        const status = this.#getFailureStatus(GATEWAY_TIMEOUT);
        this.#withdraw();
        this.#refuse(status, "deadline-expired", RETRY_AFTER_MS);
    }

    /** Sends the caller a final response; only a 503 states that the request was not executed and may be sent again. */
    #refuse(status: number, reason: string, retryAfterMs: number, shareRatio?: number): void {
        if (this.#response.isStarted) {
            this.#response.abort();
        }
        else {
            const statedMs = status === SERVICE_UNAVAILABLE ? retryAfterMs : undefined;
            this.#response.sendLocalResponse(status, statedMs);
        }
        const decidedBy = { retryAfterMs: Math.round(retryAfterMs), shareRatio: shareRatio?.toFixed(2) };
        this.#end(reason, undefined, decidedBy);
    }

    #onCallerClosed(): void {
        if (!this.#isEnded) {
            this.#end("caller-left", this.#withdraw());
        }
    }

    /** Cancels the wait for a target or the attempt in progress. Returns the cancelled attempt, if any. */
    #withdraw(): ForwardAttempt | undefined {
        const { scheduler, getNow } = this.#options;
        if (this.#waiting) {
            scheduler.withdraw(this.#waiting);
            this.#waiting = undefined;
        }
        const attempt = this.#attempt;
        if (attempt) {
            this.#attempt = undefined;
            attempt.abort();
            scheduler.release(attempt.grant, attempt.hasEvents, getNow());
        }
        return attempt;
    }

    /** @param decidedBy What decided a refusal, for the log. */
    #end(outcome: string, attempt?: ForwardAttempt, decidedBy: object = {}): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        const { exchange: { request }, log, getNow, onEnd } = this.#options;
        const ms = Math.round(getNow() - request.receivedAt);
        log.write("request-ended", {
            ...describeRequestEnd(request, attempt),
            ...describeResponseEnd(this.#response, this.#lastAttempt),
            outcome,
            lacking: outcome === "served" ? undefined : this.#lacking,
            attempts: this.#attempts,
            ms,
            ...decidedBy,
        });
        onEnd(outcome, ms);
    }
}
