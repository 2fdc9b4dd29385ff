import { planNextAttempt } from "../core/routing/planNextAttempt.js";
import { planRequestEnd } from "../core/routing/planRequestEnd.js";
import type { WaitingRequest } from "../core/routing/waitingRequest.js";
import { abortResponse } from "../shared/abortResponse.js";
import { AttemptRunner } from "./attemptRunner.js";
import { CallerResponse } from "./callerResponse.js";
import { describeAttemptFailure } from "./describeAttemptFailure.js";
import { describeRequestEnd } from "./describeRequestEnd.js";
import { describeResponseEnd } from "./describeResponseEnd.js";
import type { FailureKind } from "./failureKind.js";
import type { ForwardAttempt } from "./forwardAttempt.js";
import { recordAttemptFailure } from "./recordAttemptFailure.js";
import { recordAttemptSuccess } from "./recordAttemptSuccess.js";
import type { RequestForwarderOptions } from "./requestForwarderOptions.js";
import type { ResponseHead } from "./responseHead.js";
import { SilenceHandler } from "./silenceHandler.js";
import { takeRetry } from "./takeRetry.js";

type EndCause = Parameters<typeof planRequestEnd>[0]["cause"];

const RETRY_AFTER_MS = 300;
const GATEWAY_TIMEOUT = 504;
const FIRST_SERVER_ERROR = 500;

/** Serves one request: waits for a target, forwards the request and the response, and retries where that is safe. */
export class RequestForwarder {
    readonly #options: RequestForwarderOptions;
    readonly #response: CallerResponse;
    readonly #attempts: AttemptRunner;
    readonly #isStream: boolean;
    /** True for `safe` requests and resumable streams; all others are executed at most once. */
    readonly #isRepeatable: boolean;
    #waiting: WaitingRequest | undefined;
    /** Complete response of a target that has failed, which the caller gets if no other attempt succeeds. */
    #errorResponse: { readonly attempt: ForwardAttempt; readonly head: ResponseHead; } | undefined;
    readonly #silence: SilenceHandler;
    /** What a retry lacked. */
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
            resumesAfter: request.resumesAfter,
        });
        this.#attempts = AttemptRunner.create({
            ...options,
            response: this.#response,
            isRepeatable: this.#isRepeatable,
            runGuarded: handler => this.#runGuarded(handler),
            onComplete: (attempt, head) => this.#onComplete(attempt, head),
            onFail: (attempt, kind, reason) => this.#failAttempt(attempt, kind, reason),
        });
        this.#silence = SilenceHandler.create({
            ...options,
            attempts: this.#attempts,
            response: this.#response,
            isStream: this.#isStream,
            planNextAttempt: () => this.#planNextAttempt(),
        });
    }

    /** Creates the forwarder of one request; `start` begins to serve it. */
    static create(options: RequestForwarderOptions): RequestForwarder {
        return new RequestForwarder(options);
    }

    /** Starts to serve the request. */
    start(): void {
        this.#options.exchange.response.on("close", () => this.#runGuarded(() => this.#onCallerClosed()));
        this.#runGuarded(() => this.#enqueue());
    }

    /** Ends the request past its deadline, looks for a better target than a silent one and resumes paused reading. */
    checkTimeouts(now: number): void {
        this.#runGuarded(() => {
            this.#attempts.running.forEach(attempt => attempt.resumeIfDue(now));
            this.#attempts.checkSuspended(now);
            if (now >= this.#options.exchange.request.deadline) {
                this.#refuse("deadline", "deadline-expired", RETRY_AFTER_MS);
                return;
            }
            if (this.#isRepeatable || this.#attempts.executions === 0) {
                this.#silence.check(now);
            }
        });
    }

    /** Ends the request because the instance stops. */
    stop(): void {
        this.#runGuarded(() => this.#refuse("stopping", "stopping", RETRY_AFTER_MS));
    }

    #enqueue(): void {
        const { scheduler, getNow } = this.#options;
        this.#waiting = {
            request: this.#attempts.request,
            excludedTargets: this.#attempts.failedTargets,
            isResume: this.#attempts.attempts > 0,
            onGrant: grant => {
                this.#waiting = undefined;
                this.#runGuarded(() => this.#attempts.send(grant));
            },
            onRefuse: ({ reason, retryAfterMs, isPromised, shareRatio }) => {
                this.#waiting = undefined;
                const decidedBy = { promised: isPromised || undefined, shareRatio: shareRatio?.toFixed(2) };
                this.#runGuarded(() => this.#refuse("no-target", reason, retryAfterMs, decidedBy));
            },
            onError: error => {
                this.#waiting = undefined;
                this.#runGuarded(() => {
                    throw error;
                });
            },
        };
        scheduler.enqueue(this.#waiting, getNow());
    }

    #onComplete(attempt: ForwardAttempt, head: ResponseHead): void {
        const { status } = attempt;
        const { exchange, getNow } = this.#options;
        recordAttemptSuccess(this.#options, exchange.request, attempt, head, getNow());
        if (attempt.isStreamed || attempt.plain.isPassed) {
            this.#attempts.finish(attempt, attempt.isStreamed || status < FIRST_SERVER_ERROR);
            this.#response.endStream();
            this.#end("served", attempt);
            return;
        }
        const isError = status >= FIRST_SERVER_ERROR;
        const { hasOthers } = this.#attempts;
        if (isError && (hasOthers || (status !== GATEWAY_TIMEOUT && this.#planNextAttempt() === "retry"))) {
            this.#errorResponse = { attempt, head };
            this.#failAttempt(attempt, "broken", "target-error");
            return;
        }
        this.#attempts.finish(attempt, !isError);
        this.#attempts.abort();
        this.#sendBuffered(attempt, head);
    }

    #sendBuffered(attempt: ForwardAttempt, head: ResponseHead): void {
        this.#response.sendBuffered(attempt.status, head, attempt.plain.take());
        this.#end("served", attempt);
    }

    #planNextAttempt(): ReturnType<typeof planNextAttempt> {
        const { exchange, getNow } = this.#options;
        return planNextAttempt({
            isRepeatable: this.#isRepeatable && this.#response.isResumable,
            runs: this.#attempts.executions,
            attempts: this.#attempts.attempts,
            maxRuns: exchange.request.route.maxAttempts,
            now: getNow(),
            deadline: exchange.request.deadline,
        });
    }

    /** Ends a failed attempt. The request goes on with the others in progress, or with a retry where that is allowed. */
    #failAttempt(attempt: ForwardAttempt, kind: FailureKind, reason: string): void {
        const { exchange: { request }, retryBudget, crashRecord, scheduler, getNow } = this.#options;
        const now = getNow();
        const mayHaveCrashed = recordAttemptFailure(this.#options, request, attempt, kind, reason, now);
        this.#attempts.fail(attempt, kind);
        if (this.#attempts.running.length > 0) {
            this.#silence.reset();
            this.#logFailure(attempt, kind, reason, now);
            return;
        }
        const plan = this.#planNextAttempt();
        const isSuspect = mayHaveCrashed && crashRecord.isSuspect(request);
        this.#lacking = isSuspect ? "crash-suspect" : takeRetry(plan, retryBudget, now);
        this.#logFailure(attempt, kind, reason, now);
        if (this.#lacking !== undefined) {
            const pauseMs = scheduler.prospects.findPauseReturn(request, now) ?? 0;
            this.#refuse("target-failed", reason, Math.max(RETRY_AFTER_MS, pauseMs));
            return;
        }
        this.#response.resetAttempt();
        this.#enqueue();
    }

    #logFailure(attempt: ForwardAttempt, kind: string, reason: string, now: number): void {
        const { exchange: { request }, log } = this.#options;
        log.write("attempt-failed", {
            ...describeAttemptFailure(request, attempt, kind, now),
            kind,
            reason,
            attempts: this.#attempts.attempts,
            willRetry: this.#lacking === undefined,
            othersRunning: this.#attempts.running.length,
            lacking: this.#lacking,
        });
    }

    /** Ends the request with the error response of a target, or else as planned for the cause; `decidedBy` is for the log. */
    #refuse(cause: EndCause, reason: string, retryAfterMs: number, decidedBy: object = {}): void {
        if (this.#isEnded) {
            return;
        }
        this.#withdraw();
        if (this.#errorResponse && !this.#response.isStarted) {
            this.#sendBuffered(this.#errorResponse.attempt, this.#errorResponse.head);
            return;
        }
        const isStarted = this.#response.isStarted;
        const mayHaveRun = this.#attempts.executions > 0;
        this.#response.end(planRequestEnd({ cause, isStarted, mayHaveRun, retryAfterMs }));
        this.#end(reason, undefined, { retryAfterMs: Math.round(retryAfterMs), ...decidedBy });
    }

    #onCallerClosed(): void {
        if (!this.#isEnded) {
            this.#end("caller-left", this.#withdraw());
        }
    }

    /** Cancels the wait for a target and the attempts in progress. Returns the first of these, if any. */
    #withdraw(): ForwardAttempt | undefined {
        if (this.#waiting) {
            this.#options.scheduler.withdraw(this.#waiting);
            this.#waiting = undefined;
        }
        return this.#attempts.abort()[0];
    }

    /** Runs a handler; an unexpected error in it ends the request, whatever its state. */
    #runGuarded(handler: () => void): void {
        const { errorBoundary, exchange: { response } } = this.#options;
        const endRequest = (): void => {
            this.#errorResponse = undefined;
            this.#refuse("internal-error", "internal-error", RETRY_AFTER_MS);
        };
        errorBoundary.run(
            "request",
            handler,
            () => errorBoundary.run("request", endRequest, () => abortResponse(response)),
        );
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
            ...describeResponseEnd(this.#response, this.#attempts.last),
            outcome,
            lacking: outcome === "served" ? undefined : this.#lacking ?? this.#silence.lacking,
            attempts: this.#attempts.attempts,
            ms,
            ...decidedBy,
        });
        onEnd(outcome, ms);
    }
}
