import type { IncomingMessage } from "node:http";
import type { AttemptBudget } from "../core/routing/attemptBudget.js";
import { planForward } from "../core/routing/planForward.js";
import type { ServiceScheduler } from "../core/routing/serviceScheduler.js";
import type { TargetGrant } from "../core/routing/targetGrant.js";
import type { WaitingRequest } from "../core/routing/waitingRequest.js";
import type { AnswerFacts } from "./answerFacts.js";
import { CallerAnswer } from "./callerAnswer.js";
import type { CallerExchange } from "./callerExchange.js";
import type { LogSink } from "./logSink.js";
import type { TargetAgents } from "./targetAgents.js";
import { TargetExchange } from "./targetExchange.js";
import type { WireFormat } from "./wireFormat.js";

interface RequestForwarderOptions {
    readonly exchange: CallerExchange;
    readonly scheduler: ServiceScheduler;
    readonly budget: AttemptBudget;
    readonly agents: TargetAgents;
    readonly wire: WireFormat;
    readonly log: LogSink;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly isLate: () => boolean;
    readonly onEnd: (outcome: string, ms: number) => void;
}

interface Attempt {
    readonly grant: TargetGrant;
    exchange: TargetExchange | undefined;
    facts: AnswerFacts | undefined;
    status: number;
    /** True once the first event has arrived. */
    hasEvents: boolean;
    lastDataAt: number;
}

type FailureKind = "not-written" | "refused" | "broken";

/** A repeatable request without an answer after this many objectives is sent to another target. */
const SILENT_OBJECTIVES = 1.5;
const MIN_SILENT_MS = 500;
/** A resumable stream goes on elsewhere after this pause, before callers give up at about 3 s. */
const MAX_PAUSE_MS = 1200;
const RETRY_AFTER_MS = 300;
const OK = 200;
const SERVICE_UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;
const FIRST_SERVER_ERROR = 500;

/** Serves one request: waits for a target, sends it, passes the answer on, and tries again where that is safe. */
export class RequestForwarder {
    readonly #options: RequestForwarderOptions;
    readonly #answer: CallerAnswer;
    readonly #avoided = new Set<string>();
    readonly #isStream: boolean;
    /** `safe` requests and streams that may be resumed; all others run once at most. */
    readonly #isRepeatable: boolean;
    #waiting: WaitingRequest | undefined;
    #attempt: Attempt | undefined;
    /** Attempts that a target may have run, and all attempts. */
    #runs = 0;
    #attempts = 0;
    #isEnded = false;

    private constructor(options: RequestForwarderOptions) {
        this.#options = options;
        const { request, response } = options.exchange;
        this.#isStream = request.route.kind === "stream";
        this.#isRepeatable = request.route.kind === "safe" || (this.#isStream && request.route.isResumable);
        this.#answer = CallerAnswer.create({
            response,
            wire: options.wire,
            requestId: request.requestId,
            isLate: options.isLate,
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

    /** Ends the request if its deadline has passed, or its attempt if the target is silent. */
    checkTimeouts(now: number): void {
        const { request } = this.#options.exchange;
        this.#answer.flush();
        if (now >= request.deadline) {
            this.#expire();
            return;
        }
        const attempt = this.#attempt;
        if (!attempt || !this.#isRepeatable || this.#runs >= request.route.maxAttempts) {
            return;
        }
        const limitMs = attempt.hasEvents
            ? MAX_PAUSE_MS
            : Math.max(MIN_SILENT_MS, request.route.objectiveMs * SILENT_OBJECTIVES);
        if (now - attempt.lastDataAt >= limitMs) {
            this.#abortAttempt(attempt, attempt.hasEvents ? "stalled" : "silent");
        }
    }

    #enqueue(): void {
        const { exchange, scheduler, getNow } = this.#options;
        this.#waiting = {
            request: exchange.request,
            avoided: this.#avoided,
            isResume: this.#attempts > 0,
            onGrant: grant => this.#send(grant),
            onRefuse: (reason, retryAfterMs) => {
                this.#waiting = undefined;
                this.#refuse(this.#runs > 0 ? BAD_GATEWAY : SERVICE_UNAVAILABLE, reason, retryAfterMs);
            },
        };
        scheduler.enqueue(this.#waiting, getNow());
    }

    #send(grant: TargetGrant): void {
        const { exchange, wire, agents, getNow } = this.#options;
        this.#waiting = undefined;
        this.#attempts += 1;
        this.#runs += 1;
        const { entry } = grant.target;
        const attempt: Attempt = {
            grant,
            exchange: undefined,
            facts: undefined,
            status: 0,
            hasEvents: false,
            lastDataAt: getNow(),
        };
        this.#attempt = attempt;
        attempt.exchange = TargetExchange.create({
            address: entry.address,
            agent: agents.getAgent(exchange.request.route, this.#isRepeatable),
            order: {
                method: exchange.incoming.method ?? "GET",
                path: exchange.incoming.url ?? "/",
                body: exchange.body,
                headers: wire.buildTargetHeaders({
                    facts: exchange.facts,
                    account: exchange.request.account,
                    targetId: entry.id,
                    promptSource: grant.promptSource,
                    patienceMs: Math.max(1, Math.floor(exchange.request.deadline - getNow())),
                    bodyLength: exchange.body?.length,
                    lastEventId: this.#answer.getLastEventId(),
                }),
            },
            onHead: answer => this.#onHead(attempt, answer),
            onData: chunk => this.#onData(attempt, chunk),
            onEnd: () => this.#onAnswerEnd(attempt),
            onFail: (reason, isWritten) =>
                this.#failAttempt(attempt, isWritten ? "broken" : "not-written", reason),
        });
    }

    #onHead(attempt: Attempt, answer: IncomingMessage): void {
        const facts = this.#options.wire.readAnswer(answer);
        attempt.facts = facts;
        attempt.status = answer.statusCode ?? 0;
        attempt.lastDataAt = this.#options.getNow();
        if (isRefusal(facts)) {
            // The body of a refusal is read so that the connection can be used again.
            return;
        }
        if (facts.requestId !== this.#options.exchange.request.requestId) {
            this.#abortAttempt(attempt, "answer-mismatched");
            return;
        }
        if (this.#answer.isStarted) {
            if (attempt.status !== OK) {
                this.#abortAttempt(attempt, "resume-refused");
            }
            return;
        }
        if (this.#isStream && attempt.status === OK) {
            this.#answer.startStream(attempt.status, facts);
        }
    }

    #onData(attempt: Attempt, chunk: Buffer): void {
        const { facts } = attempt;
        if (!facts || isRefusal(facts)) {
            return;
        }
        const now = this.#options.getNow();
        attempt.lastDataAt = now;
        if (!this.#answer.isStarted) {
            if (!this.#answer.append(chunk)) {
                this.#abortAttempt(attempt, "answer-too-long");
            }
            return;
        }
        const hasWritten = this.#answer.writeEvents(chunk, onDrain => {
            attempt.exchange?.pause();
            onDrain(() => attempt.exchange?.resume());
        });
        if (hasWritten && !attempt.hasEvents) {
            attempt.hasEvents = true;
            this.#options.scheduler.start(attempt.grant, now);
        }
    }

    #onAnswerEnd(attempt: Attempt): void {
        const { facts, status } = attempt;
        if (!facts) {
            this.#failAttempt(attempt, "broken", "no-head");
            return;
        }
        if (isRefusal(facts)) {
            this.#failAttempt(attempt, "refused", facts.isMisdirected ? "misdirected" : "target-full");
            return;
        }
        if (this.#answer.isStarted) {
            if (!this.#answer.isWhole(facts)) {
                this.#failAttempt(attempt, "broken", "truncated");
                return;
            }
            this.#finishAttempt(attempt, true);
            this.#answer.endStream();
            this.#end("served", attempt, status);
            return;
        }
        const isError = status >= FIRST_SERVER_ERROR;
        if (isError && status !== GATEWAY_TIMEOUT && this.#hasRetry()) {
            this.#failAttempt(attempt, "broken", "target-error", () => this.#sendHeld(attempt, facts));
            return;
        }
        this.#finishAttempt(attempt, !isError);
        this.#sendHeld(attempt, facts);
    }

    #sendHeld(attempt: Attempt, facts: AnswerFacts): void {
        this.#answer.sendHeld(attempt.status, facts);
        this.#end("served", attempt, attempt.status);
    }

    #hasRetry(): boolean {
        const { exchange, getNow } = this.#options;
        return planForward({
            isRepeatable: this.#isRepeatable,
            runs: this.#runs,
            attempts: this.#attempts,
            maxRuns: exchange.request.route.maxAttempts,
            now: getNow(),
            deadline: exchange.request.deadline,
        }) === "retry";
    }

    #finishAttempt(attempt: Attempt, isSuccess: boolean): void {
        const { scheduler, getNow } = this.#options;
        const now = getNow();
        this.#attempt = undefined;
        if (isSuccess) {
            attempt.grant.target.recordSuccess(now);
        }
        else {
            attempt.grant.target.recordFailure(now);
        }
        scheduler.release(attempt.grant, attempt.hasEvents, now);
    }

    #abortAttempt(attempt: Attempt, reason: string): void {
        attempt.exchange?.abort();
        this.#failAttempt(attempt, "broken", reason);
    }

    /** @param onFinal Answers the caller if the request is not sent again; by default it is refused. */
    #failAttempt(
        attempt: Attempt,
        kind: FailureKind,
        reason: string,
        onFinal: () => void = () => this.#fail(attempt, reason),
    ): void {
        if (this.#attempt !== attempt) {
            return;
        }
        const { exchange, budget, log, getNow } = this.#options;
        const now = getNow();
        this.#avoided.add(attempt.grant.target.entry.id);
        if (kind !== "broken") {
            this.#runs -= 1;
        }
        this.#finishAttempt(attempt, kind === "refused");
        const willRetry = this.#hasRetry() && budget.tryTake(now);
        log.write("attempt-failed", {
            request: exchange.request.requestId,
            target: attempt.grant.target.entry.id,
            kind,
            reason,
            status: attempt.status,
            afterMs: Math.round(now - attempt.grant.grantedAt),
            attempts: this.#attempts,
            willRetry,
        });
        if (!willRetry) {
            onFinal();
            return;
        }
        this.#answer.resetAttempt();
        this.#enqueue();
    }

    #fail(attempt: Attempt, reason: string): void {
        if (this.#answer.isStarted) {
            this.#answer.abort();
            this.#end("broken-off", attempt, attempt.status);
            return;
        }
        this.#refuse(this.#runs === 0 ? SERVICE_UNAVAILABLE : BAD_GATEWAY, reason, RETRY_AFTER_MS);
    }

    #expire(): void {
        const wasSent = this.#runs > 0;
        const attempt = this.#withdraw();
        if (this.#answer.isStarted) {
            this.#answer.abort();
            this.#end("expired", attempt, OK);
            return;
        }
        this.#refuse(wasSent ? GATEWAY_TIMEOUT : SERVICE_UNAVAILABLE, "deadline-expired", RETRY_AFTER_MS);
    }

    /** Gives the caller a final answer; only a 503 states that the request was not run and may come back. */
    #refuse(status: number, reason: string, retryAfterMs: number): void {
        if (this.#answer.isStarted) {
            this.#answer.abort();
        }
        else {
            this.#answer.sendOwn(status, status === SERVICE_UNAVAILABLE ? retryAfterMs : undefined);
        }
        this.#end(reason, undefined, status);
    }

    #onCallerClosed(): void {
        if (!this.#isEnded) {
            this.#end("caller-left", this.#withdraw(), undefined);
        }
    }

    /** Stops the wait for a target or the attempt in progress, and returns the latter. */
    #withdraw(): Attempt | undefined {
        const { scheduler, getNow } = this.#options;
        if (this.#waiting) {
            scheduler.withdraw(this.#waiting);
            this.#waiting = undefined;
        }
        const attempt = this.#attempt;
        if (attempt) {
            this.#attempt = undefined;
            attempt.exchange?.abort();
            scheduler.release(attempt.grant, attempt.hasEvents, getNow());
        }
        return attempt;
    }

    #end(outcome: string, attempt: Attempt | undefined, status: number | undefined): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        const { exchange: { request }, log, getNow, onEnd } = this.#options;
        const grant = attempt?.grant;
        const ms = Math.round(getNow() - request.receivedAt);
        log.write("request-ended", {
            request: request.requestId,
            route: request.route.name,
            account: request.account,
            outcome,
            status,
            target: grant?.target.entry.id,
            promptSource: grant?.promptSource,
            tokens: request.promptTokens,
            missingTokens: grant?.missingTokens,
            expectedMs: grant && Math.round(grant.expectedMs),
            queuedMs: grant && Math.round(grant.grantedAt - request.receivedAt),
            attempts: this.#attempts,
            ms,
        });
        onEnd(outcome, ms);
    }
}

function isRefusal(facts: AnswerFacts): boolean {
    return facts.isMisdirected || facts.isNotRun;
}
