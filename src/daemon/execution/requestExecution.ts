import type { AttemptResult } from "../../adapters/target/attemptResult.js";
import type { TargetClient } from "../../adapters/target/targetClient.js";
import { RequestError } from "../../core/errors/requestError.js";
import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { RequestResult } from "../../core/request/requestResult.js";
import type { ResponseWriter } from "../../core/request/responseWriter.js";
import type { SlotBroker } from "../../core/request/slotBroker.js";
import type { SlotGrant } from "../../core/request/slotGrant.js";
import { computeBackoff } from "../../core/retry/computeBackoff.js";
import { planRetry } from "../../core/retry/planRetry.js";
import type { RetryDecision } from "../../core/retry/retryDecision.js";
import type { DaemonContext } from "../daemonContext.js";
import type { ClaimTicket } from "./claimTicket.js";
import { computeAttemptCost } from "./computeAttemptCost.js";
import { ResponseRelay } from "./responseRelay.js";

interface RequestExecutionOptions {
    readonly context: Pick<DaemonContext, "getNow" | "getView" | "identity" | "metrics" | "recordDecision">;
    readonly broker: SlotBroker;
    readonly targets: Pick<TargetClient, "send">;
    readonly request: CallerRequest;
    readonly writer: ResponseWriter;
    readonly ticket: ClaimTicket | undefined;
    readonly isRepeatable: boolean;
    /** Aborts when the caller disconnects or the deadline expires. */
    readonly signal: AbortSignal;
    readonly tryTakeRetry: () => boolean;
    readonly getRandom: () => number;
    readonly wait: (ms: number, signal: AbortSignal) => Promise<void>;
}

const SLOT_ENDINGS = {
    "not-written": "not-written",
    "refused": "refused",
    "completed": "completed",
    "broken": "failed",
} as const;

/** Failures after which the same request may succeed once the targets have recovered. */
const OVERLOAD_CODES: ReadonlySet<string> = new Set(["target-unavailable", "retry-budget-exhausted"]);
const OVERLOAD_RETRY_AFTER_SECONDS = 1;

/** Executes one request in one or more attempts. */
export class RequestExecution {
    readonly #options: RequestExecutionOptions;
    readonly #relay: ResponseRelay;
    readonly #failedTargets: string[] = [];
    #attempts = 0;
    #wasWritten = false;
    #cost = 0;

    private constructor(options: RequestExecutionOptions) {
        this.#options = options;
        this.#relay = ResponseRelay.create({
            request: options.request,
            writer: options.writer,
            metrics: options.context.metrics,
            getNow: options.context.getNow,
        });
    }

    /** Creates the run of one request. */
    static create(options: RequestExecutionOptions): RequestExecution {
        return new RequestExecution(options);
    }

    /**
     * Sends attempts to targets until one completes the response.
     *
     * @throws RequestError when no slot is granted or no further attempt is allowed.
     */
    async execute(): Promise<RequestResult> {
        for (;;) {
            const grant = await this.#acquireSlot();
            const result = await this.#sendAttempt(grant);
            const decision = this.#planRetry(result);
            if (decision.kind === "finish") {
                return {
                    target: grant.target.name,
                    status: result.status ?? 0,
                    cost: this.#cost,
                    attempts: this.#attempts,
                };
            }
            if (decision.kind === "fail") {
                throw RequestError.create(
                    decision.code,
                    `Try ${this.#attempts} at ${grant.target.name} ended as ${describeEnding(result)}.`,
                    {
                        outcome: decision.outcome,
                        ...(OVERLOAD_CODES.has(decision.code)
                            ? { retryAfterSeconds: OVERLOAD_RETRY_AFTER_SECONDS }
                            : {}),
                    },
                );
            }
            this.#recordRetry(decision.kind, decision.reason, grant);
            await this.#options.wait(
                computeBackoff(this.#attempts, this.#options.getRandom()),
                this.#options.signal,
            );
        }
    }

    async #acquireSlot(): Promise<SlotGrant> {
        const { broker, context, request, signal } = this.#options;
        const queuedAt = context.getNow();
        try {
            // The broker's listener would miss an abort during the claim or the backoff.
            if (signal.aborted) {
                throw RequestError.create(
                    "caller-disconnected",
                    "The caller left before a slot was asked for.",
                );
            }
            const grant = await broker.acquireSlot({
                requestId: request.requestId,
                account: request.account.name,
                service: request.service.name,
                deadline: request.deadline,
                hintedCost: request.hintedCost,
                excludedTargets: [...this.#failedTargets],
            }, signal);
            context.metrics.observeLatency("queueing", context.getNow() - queuedAt);
            return grant;
        }
        catch (error) {
            throw this.#describeRefusal(error);
        }
    }

    /** The broker knows neither the earlier attempts of the request nor why its signal aborted. */
    #describeRefusal(error: unknown): unknown {
        if (!(error instanceof RequestError)) {
            return error;
        }
        const { context, request, signal } = this.#options;
        const isExpired = signal.aborted && context.getNow() >= request.deadline;
        return RequestError.create(isExpired ? "deadline-expired" : error.code, error.message, {
            outcome: this.#wasWritten ? "unknown" : error.outcome,
            ...(error.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: error.retryAfterSeconds }),
            cause: error,
        });
    }

    async #sendAttempt(grant: SlotGrant): Promise<AttemptResult> {
        const { broker, isRepeatable, request, signal, targets, ticket } = this.#options;
        this.#attempts += 1;
        this.#relay.startAttempt(tokens => broker.chargeTokens(grant, tokens));
        const result = await targets.send(
            {
                requestId: request.requestId,
                target: grant.target,
                method: request.method,
                path: request.path,
                body: request.body,
                startDeadline: grant.startDeadline,
                isRepeatable,
                headers: {
                    ...request.headers,
                    "x-request-id": request.requestId,
                    "x-fencing-number": String(grant.fencingNumber),
                    ...(this.#relay.nextIndex > 0 ? { "x-resume-from": String(this.#relay.nextIndex) } : {}),
                    ...(ticket ? { "idempotency-key": ticket.key } : {}),
                },
            },
            this.#relay,
            signal,
        );
        this.#finishAttempt(grant, result);
        return result;
    }

    #finishAttempt(grant: SlotGrant, result: AttemptResult): void {
        try {
            if (result.ending.kind === "completed") {
                this.#relay.finish();
            }
        }
        finally {
            this.#releaseSlot(grant, result);
        }
    }

    #releaseSlot(grant: SlotGrant, result: AttemptResult): void {
        const { ending, targetState } = result;
        this.#relay.chargeRemainingTokens();
        const cost = computeAttemptCost(this.#options.request, {
            ending,
            tokens: this.#relay.attemptTokens,
            earlierCost: this.#cost,
            usage: this.#relay.usage,
        });
        this.#cost += cost;
        this.#countCrossRegionBytes(grant);
        this.#options.broker.releaseSlot(grant, { cost, ending: SLOT_ENDINGS[ending.kind], targetState });
        if (ending.kind !== "completed" && ending.reason !== "start-deadline-passed") {
            this.#failedTargets.push(grant.target.name);
        }
    }

    #planRetry(result: AttemptResult): RetryDecision {
        const { context, isRepeatable, request } = this.#options;
        const decision = planRetry(result.ending, {
            isRepeatable,
            attempts: this.#attempts,
            wasWritten: this.#wasWritten,
            isResponseStarted: this.#relay.isResponseStarted,
            isResumable: this.#relay.isResumable,
            now: context.getNow(),
            deadline: request.deadline,
        });
        this.#wasWritten ||= result.ending.kind === "broken";
        const isBudgeted = (decision.kind === "retry" || decision.kind === "resume") && decision.isBudgeted;
        if (isBudgeted && !this.#options.tryTakeRetry()) {
            return {
                kind: "fail",
                code: "retry-budget-exhausted",
                outcome: this.#wasWritten ? "unknown" : "not-run",
            };
        }
        return decision;
    }

    #recordRetry(kind: "retry" | "resume", reason: string, grant: SlotGrant): void {
        const { context, request } = this.#options;
        context.metrics.count("retries_total", { reason: kind === "resume" ? `resume-${reason}` : reason });
        context.recordDecision({
            timeMs: Date.now(),
            kind: kind === "resume" ? "resumed" : "retried",
            reason,
            requestId: request.requestId,
            account: request.account.name,
            service: request.service.name,
            target: grant.target.name,
            fields: { attempts: this.#attempts, nextIndex: this.#relay.nextIndex },
        });
    }

    #countCrossRegionBytes(grant: SlotGrant): void {
        const { context, request } = this.#options;
        const dataCentres = context.getView().index?.dataCentres;
        const localRegion = dataCentres?.get(context.identity.dataCentre)?.region;
        if (dataCentres?.get(grant.target.dataCentre)?.region !== localRegion) {
            const bytes = this.#relay.attemptBytes + (request.body?.length ?? 0);
            context.metrics.count("cross_region_bytes_total", { service: request.service.name }, bytes);
        }
    }
}

function describeEnding(result: AttemptResult): string {
    return result.ending.kind === "completed"
        ? "completed"
        : `${result.ending.kind} (${result.ending.reason})`;
}
