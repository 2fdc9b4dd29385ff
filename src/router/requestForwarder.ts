import type { IncomingMessage } from "node:http";
import type { AttemptBudget } from "../core/routing/attemptBudget.js";
import { planForward } from "../core/routing/planForward.js";
import type { ServiceScheduler } from "../core/routing/serviceScheduler.js";
import type { TargetGrant } from "../core/routing/targetGrant.js";
import type { WaitingRequest } from "../core/routing/waitingRequest.js";
import type { AnswerFacts } from "./answerFacts.js";
import type { CallerExchange } from "./callerExchange.js";
import { EventRelay } from "./eventRelay.js";
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
    readonly onEnd: () => void;
}

interface Attempt {
    readonly grant: TargetGrant;
    readonly sentAt: number;
    exchange: TargetExchange | undefined;
    facts: AnswerFacts | undefined;
    status: number;
    hasData: boolean;
    lastDataAt: number;
}

/** Longest body of a plain answer that is held until it is whole, so that a truncated one can be replaced. */
const MAX_HELD_BYTES = 262_144;
/** A repeatable request without an answer after this many objectives is sent to another target. */
const SILENT_OBJECTIVES = 1.5;
const MIN_SILENT_MS = 500;
/** A resumable stream goes on elsewhere after this pause. */
const MAX_PAUSE_MS = 1200;
const RETRY_AFTER_MS = 300;
const SERVICE_UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;
const FIRST_SERVER_ERROR = 500;

/** Serves one request: waits for a target, sends it, passes the answer on, and tries again where that is safe. */
export class RequestForwarder {
    readonly #options: RequestForwarderOptions;
    readonly #relay = EventRelay.create();
    readonly #avoided = new Set<string>();
    readonly #isStream: boolean;
    #waiting: WaitingRequest | undefined;
    #attempt: Attempt | undefined;
    /** Attempts that a target may have run, and all attempts. */
    #runs = 0;
    #attempts = 0;
    #isHeadSent = false;
    #held: Buffer[] = [];
    #heldBytes = 0;
    #isEnded = false;

    private constructor(options: RequestForwarderOptions) {
        this.#options = options;
        this.#isStream = options.exchange.request.route.kind === "stream";
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
        if (this.#isEnded) {
            return;
        }
        if (now >= request.deadline) {
            this.#expire();
            return;
        }
        const attempt = this.#attempt;
        if (!attempt || !this.#isRepeatable() || this.#runs >= request.route.maxAttempts) {
            return;
        }
        const limitMs = attempt.hasData
            ? MAX_PAUSE_MS
            : Math.max(MIN_SILENT_MS, request.route.objectiveMs * SILENT_OBJECTIVES);
        if (now - attempt.lastDataAt >= limitMs) {
            attempt.exchange?.abort();
            this.#failAttempt(attempt, "broken", attempt.hasData ? "stalled" : "silent");
        }
    }

    /** `safe` requests and streams that may be resumed; all others run once at most. */
    #isRepeatable(): boolean {
        const { route } = this.#options.exchange.request;
        return route.kind === "safe" || (this.#isStream && route.isResumable);
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
                this.#refuse(SERVICE_UNAVAILABLE, reason, retryAfterMs);
            },
        };
        scheduler.submit(this.#waiting, getNow());
    }

    #send(grant: TargetGrant): void {
        const { exchange, wire, agents, getNow } = this.#options;
        this.#waiting = undefined;
        const now = getNow();
        if (this.#isEnded) {
            this.#options.scheduler.release(grant, false, now);
            return;
        }
        this.#attempts += 1;
        this.#runs += 1;
        const { entry } = grant.target;
        const attempt: Attempt = {
            grant,
            sentAt: now,
            exchange: undefined,
            facts: undefined,
            status: 0,
            hasData: false,
            lastDataAt: now,
        };
        this.#attempt = attempt;
        attempt.exchange = TargetExchange.create({
            address: entry.address,
            agent: agents.getAgent(exchange.request.route, this.#isRepeatable()),
            order: {
                method: exchange.incoming.method ?? "GET",
                path: exchange.incoming.url ?? "/",
                body: exchange.body,
                headers: wire.buildTargetHeaders({
                    facts: exchange.facts,
                    account: exchange.request.account,
                    targetId: entry.id,
                    promptSource: grant.promptSource,
                    patienceMs: Math.max(1, Math.floor(exchange.request.deadline - now)),
                    bodyLength: exchange.body?.length,
                    lastEventId: this.#isHeadSent ? this.#relay.getLastEventId() : undefined,
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
        if (facts.isMisdirected || facts.isNotRun) {
            // The body of a refusal is read so that the connection can be used again.
            return;
        }
        if (facts.requestId !== this.#options.exchange.request.requestId) {
            attempt.exchange?.abort();
            this.#failAttempt(attempt, "broken", "answer-mismatched");
            return;
        }
        const isFailure = attempt.status >= FIRST_SERVER_ERROR;
        if (this.#isHeadSent && attempt.status !== 200) {
            attempt.exchange?.abort();
            this.#failAttempt(attempt, "broken", "resume-refused");
            return;
        }
        if (this.#isStream && !isFailure && !this.#isHeadSent && attempt.status === 200) {
            this.#isHeadSent = true;
            const { response } = this.#options.exchange;
            response.writeHead(attempt.status, listStreamHeaders(facts.passedHeaders));
        }
    }

    #onData(attempt: Attempt, chunk: Buffer): void {
        const { facts } = attempt;
        if (!facts || facts.isMisdirected || facts.isNotRun) {
            return;
        }
        const now = this.#options.getNow();
        attempt.lastDataAt = now;
        if (!this.#isHeadSent) {
            this.#hold(attempt, chunk);
            return;
        }
        const events = this.#relay.push(chunk);
        if (!events) {
            return;
        }
        if (!attempt.hasData) {
            attempt.hasData = true;
            this.#options.scheduler.start(attempt.grant, now);
        }
        this.#write(attempt, events);
    }

    #hold(attempt: Attempt, chunk: Buffer): void {
        this.#heldBytes += chunk.length;
        if (this.#heldBytes > MAX_HELD_BYTES) {
            attempt.exchange?.abort();
            this.#failAttempt(attempt, "broken", "answer-too-long");
            return;
        }
        this.#held.push(chunk);
    }

    #write(attempt: Attempt, bytes: Buffer): void {
        const { response } = this.#options.exchange;
        if (response.write(bytes)) {
            return;
        }
        attempt.exchange?.pause();
        response.once("drain", () => attempt.exchange?.resume());
    }

    #onAnswerEnd(attempt: Attempt): void {
        const { facts, status } = attempt;
        if (!facts) {
            this.#failAttempt(attempt, "broken", "no-head");
            return;
        }
        if (facts.isMisdirected || facts.isNotRun) {
            this.#failAttempt(attempt, "refused", facts.isMisdirected ? "misdirected" : "target-full");
            return;
        }
        if (this.#isHeadSent) {
            if (this.#relay.hasPartialEvent) {
                this.#failAttempt(attempt, "broken", "truncated");
                return;
            }
            this.#finishAttempt(attempt, true);
            this.#options.exchange.response.end();
            this.#end("served", attempt);
            return;
        }
        if (status >= FIRST_SERVER_ERROR && this.#isRepeatable() && this.#canRetry(attempt, "target-error")) {
            this.#failAttempt(attempt, "broken", "target-error");
            return;
        }
        this.#finishAttempt(attempt, status < FIRST_SERVER_ERROR);
        this.#sendHeld(attempt, facts);
    }

    #canRetry(attempt: Attempt, reason: string): boolean {
        const plan = planForward({ kind: "broken", reason }, this.#getFacts());
        return plan.kind === "retry" && attempt.status !== GATEWAY_TIMEOUT;
    }

    #getFacts(): Parameters<typeof planForward>[1] {
        const { exchange, getNow } = this.#options;
        return {
            isRepeatable: this.#isRepeatable(),
            isAnswerStarted: this.#isHeadSent,
            lastEventId: this.#relay.getLastEventId(),
            runs: this.#runs,
            attempts: this.#attempts,
            maxRuns: exchange.request.route.maxAttempts,
            now: getNow(),
            deadline: exchange.request.deadline,
        };
    }

    #sendHeld(attempt: Attempt, facts: AnswerFacts): void {
        const { response } = this.#options.exchange;
        const body = Buffer.concat(this.#held);
        response.writeHead(attempt.status, [
            ...listStreamHeaders(facts.passedHeaders),
            "Content-Length",
            String(body.length),
        ]);
        response.end(body);
        this.#end("served", attempt);
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
        scheduler.release(attempt.grant, attempt.hasData, now);
    }

    #failAttempt(attempt: Attempt, kind: "not-written" | "refused" | "broken", reason: string): void {
        if (this.#attempt !== attempt) {
            return;
        }
        const { exchange, budget, log, getNow } = this.#options;
        this.#avoided.add(attempt.grant.target.entry.id);
        if (kind !== "broken") {
            this.#runs -= 1;
        }
        this.#finishAttempt(attempt, kind === "refused");
        this.#relay.reset();
        this.#held = [];
        this.#heldBytes = 0;
        const plan = planForward({ kind, reason }, this.#getFacts());
        const isAllowed = plan.kind === "retry" && budget.tryTake(getNow());
        log.write("attempt-failed", {
            request: exchange.request.requestId,
            target: attempt.grant.target.entry.id,
            kind,
            reason,
            status: attempt.status,
            afterMs: Math.round(getNow() - attempt.sentAt),
            plan: plan.kind,
            isAllowed,
        });
        if (isAllowed) {
            this.#enqueue();
            return;
        }
        if (this.#isHeadSent) {
            exchange.response.destroy();
            this.#end("broken-off", attempt);
            return;
        }
        if (this.#runs === 0) {
            this.#refuse(SERVICE_UNAVAILABLE, reason, RETRY_AFTER_MS);
            return;
        }
        this.#refuse(BAD_GATEWAY, reason, undefined);
    }

    #expire(): void {
        const attempt = this.#attempt;
        const wasSent = this.#runs > 0;
        this.#withdraw();
        if (this.#isHeadSent) {
            this.#options.exchange.response.destroy();
            this.#end("expired", attempt);
            return;
        }
        this.#refuse(wasSent ? GATEWAY_TIMEOUT : SERVICE_UNAVAILABLE, "deadline-expired", RETRY_AFTER_MS);
    }

    #refuse(status: number, reason: string, retryAfterMs: number | undefined): void {
        const { exchange, wire } = this.#options;
        if (this.#isEnded) {
            return;
        }
        if (this.#isHeadSent) {
            exchange.response.destroy();
            this.#end(reason, undefined);
            return;
        }
        exchange.response.writeHead(status, {
            ...wire.buildOwnHeaders(
                exchange.request.requestId,
                status === SERVICE_UNAVAILABLE ? retryAfterMs : undefined,
            ),
            "Content-Length": "0",
        });
        exchange.response.end();
        this.#end(reason, undefined, status);
    }

    #onCallerClosed(): void {
        if (this.#isEnded) {
            return;
        }
        const attempt = this.#attempt;
        this.#withdraw();
        this.#end("caller-left", attempt);
    }

    /** Stops the attempt in progress or the wait for a target. */
    #withdraw(): void {
        const { scheduler, getNow } = this.#options;
        if (this.#waiting) {
            scheduler.withdraw(this.#waiting);
            this.#waiting = undefined;
        }
        const attempt = this.#attempt;
        if (attempt) {
            this.#attempt = undefined;
            attempt.exchange?.abort();
            scheduler.release(attempt.grant, attempt.hasData, getNow());
        }
    }

    #end(outcome: string, attempt: Attempt | undefined, ownStatus?: number): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        const { exchange, log, getNow, onEnd } = this.#options;
        log.write("request-ended", {
            request: exchange.request.requestId,
            route: exchange.request.route.name,
            account: exchange.request.account,
            outcome,
            status: ownStatus ?? attempt?.status,
            target: attempt?.grant.target.entry.id,
            promptSource: attempt?.grant.promptSource,
            missingTokens: attempt?.grant.missingTokens,
            tokens: exchange.request.promptTokens,
            expectedMs: attempt && Math.round(attempt.grant.expectedMs),
            queuedMs: attempt && Math.round(attempt.grant.grantedAt - exchange.request.receivedAt),
            attempts: this.#attempts,
            ms: Math.round(getNow() - exchange.request.receivedAt),
        });
        onEnd();
    }
}

/** The length of a stream or of a held body is stated anew. */
function listStreamHeaders(headers: readonly string[]): string[] {
    const kept: string[] = [];
    for (let i = 0; i + 1 < headers.length; i += 2) {
        if (headers[i]?.toLowerCase() !== "content-length") {
            kept.push(headers[i] ?? "", headers[i + 1] ?? "");
        }
    }
    return kept;
}
