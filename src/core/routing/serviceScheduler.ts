import { ServiceReturns } from "../returns/serviceReturns.js";
import { AccountShares } from "./accountShares.js";
import { countRequestTokens } from "./countRequestTokens.js";
import { EngineModel } from "./engineModel.js";
import { findWaitDeadline } from "./findWaitDeadline.js";
import { limitRetryAfter } from "./limitRetryAfter.js";
import { markPresumedCold } from "./markPresumedCold.js";
import { notifyWaiting } from "./notifyWaiting.js";
import { replaceTargetStates } from "./replaceTargetStates.js";
import { RequestProspects } from "./requestProspects.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RoutedService } from "./routedService.js";
import type { SchedulerDecision } from "./schedulerDecision.js";
import type { ServiceSchedulerOptions } from "./serviceSchedulerOptions.js";
import { sortWaiting } from "./sortWaiting.js";
import type { TargetDescriptor } from "./targetDescriptor.js";
import { TargetEligibility } from "./targetEligibility.js";
import type { TargetGrant } from "./targetGrant.js";
import { TargetGranter } from "./targetGranter.js";
import type { TargetState } from "./targetState.js";
import { WaitEstimator } from "./waitEstimator.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** Waiting requests of one service above which new ones are refused, to bound memory. */
const MAX_WAITING = 2000;

/** Assigns the waiting requests of a service to targets, and refuses those that cannot be served in time. */
export class ServiceScheduler {
    readonly #options: ServiceSchedulerOptions;
    readonly #granter: TargetGranter;
    /** What the targets of the service let a request expect. */
    readonly prospects: RequestProspects;
    readonly #shares: AccountShares;
    readonly #engineModel: EngineModel;
    readonly #waits: WaitEstimator;
    /** Refused requests that come again. */
    readonly returns: ServiceReturns;
    #service: RoutedService;
    readonly #targets = new Map<string, TargetState>();
    #evacuated: ReadonlySet<string> = new Set();
    #waiting: WaitingRequest[] = [];

    private constructor(options: ServiceSchedulerOptions) {
        this.#options = options;
        this.#service = options.service;
        this.#shares = AccountShares.create({
            usage: options.usage,
            getTokensPerSecond: () => this.#service.engine ? options.getTokensPerSecond() : 0,
        });
        this.#engineModel = EngineModel.create(options.settings);
        this.returns = ServiceReturns.create(() =>
            this.#targets.size > 0 && (options.usesReservations?.(this.#service.name) ?? false)
        );
        const eligibility = TargetEligibility.create({
            ...options,
            targets: this.#targets,
            getEvacuated: () => this.#evacuated,
        });
        this.prospects = RequestProspects.create(eligibility, () => this.#targets.size);
        this.#granter = TargetGranter.create({
            ...options,
            eligibility,
            engineModel: this.#engineModel,
            targets: this.#targets,
            getService: () => this.#service,
        });
        this.#waits = WaitEstimator.create({
            ...options,
            engineModel: this.#engineModel,
            getService: () => this.#service,
            countTargets: () => this.#targets.size,
            hasOnlyLimited: request => eligibility.hasOnlyLimited(request),
        });
    }

    /** Creates a scheduler without targets. */
    static create(options: ServiceSchedulerOptions): ServiceScheduler {
        return new ServiceScheduler(options);
    }

    /** Targets by identifier. */
    get targets(): ReadonlyMap<string, TargetState> {
        return this.#targets;
    }

    /** Number of requests that wait for a target. */
    get waitingCount(): number {
        return this.#waiting.length;
    }

    /** Replaces the description of the service. */
    setService(service: RoutedService): void {
        this.#service = service;
    }

    /** Replaces the list of targets and of evacuated data centres, and grants targets to waiting requests. */
    setTargets(targets: readonly TargetDescriptor[], evacuated: ReadonlySet<string>, now: number): void {
        this.replaceTargets(targets, evacuated, now);
        this.advance(now);
    }

    /** Replaces the list of targets and of evacuated data centres, which get no requests, before `advance` is called. */
    replaceTargets(targets: readonly TargetDescriptor[], evacuated: ReadonlySet<string>, now: number): void {
        const reinstated = [...this.#evacuated].filter(dataCentre => !evacuated.has(dataCentre));
        this.#evacuated = evacuated;
        replaceTargetStates(this.#targets, targets, this.#service.engine?.memoryTokens, now);
        markPresumedCold(this.#targets.values(), reinstated, now + this.#service.warmupMs);
    }

    /** Adds a request, which is granted a target or refused, now or later. */
    enqueue(waiting: WaitingRequest, now: number): void {
        if (this.#waiting.length >= MAX_WAITING && !waiting.isResume) {
            const retryAfterMs = limitRetryAfter(Number.POSITIVE_INFINITY, waiting.request.requestId);
            return waiting.onRefuse({ reason: "overloaded", retryAfterMs });
        }
        const { usage, crashRecord, limits } = this.#options;
        limits.addRequest(this.#service.name, now);
        if (!waiting.isResume && !crashRecord.findRefusal(waiting.request, now)) {
            usage.addDemand(waiting.request.account, countRequestTokens(waiting.request), now);
        }
        this.returns.add(waiting, now);
        // Requests already waiting could not use the free slots, so only the new one is tried.
        const countAhead = (): number => this.#waits.countAhead(waiting, this.#waiting, now);
        const decision = this.#resolve(waiting, new Set(), countAhead, now);
        if (decision.kind === "waiting") {
            this.#waiting.push(waiting);
        }
        this.returns.recordDecision(waiting, decision, now);
        notifyWaiting(waiting, decision);
    }

    /**
     * Grants a target with capacity to a request beside its attempt in progress; returns `undefined` if there is none now.
     *
     * @param excludedTargets Identifiers of the targets that have failed the request or are serving it.
     */
    tryGrant(
        request: RoutedRequest,
        excludedTargets: ReadonlySet<string>,
        now: number,
    ): TargetGrant | undefined {
        const { crashRecord, limits } = this.#options;
        const { kind } = this.#shares.getStatus(request.account, now);
        const isRefused = kind === "excluded" || crashRecord.findRefusal(request, now);
        const grant = isRefused
            ? undefined
            : this.#granter.tryGrant({ request, excludedTargets }, kind === "over", new Set(), now);
        if (grant) {
            limits.addRequest(this.#service.name, now);
        }
        return grant;
    }

    /** Returns the retry delay in milliseconds if the account is excluded; the request then still counts as demand. */
    findRetryDelay(request: RoutedRequest, now: number): number | undefined {
        const { kind, returnMs } = this.#shares.getStatus(request.account, now);
        if (kind !== "excluded" || this.returns.mayWait(request, now)) {
            return undefined;
        }
        this.#options.usage.addDemand(request.account, countRequestTokens(request), now);
        const times = { earliestMs: returnMs, estimatedMs: returnMs, readingMs: 0 };
        return this.returns.planReturn(request, times, now).retryAfterMs;
    }

    /** Removes a waiting request whose caller has disconnected. */
    withdraw(waiting: WaitingRequest): void {
        this.#waiting = this.#waiting.filter(other => other !== waiting);
        this.returns.withdraw(waiting);
    }

    /** Records the first event of a response: the target has read the prompt. */
    start(grant: TargetGrant, now: number): void {
        grant.target.activity.remove(grant);
        grant.target.pendingTokens -= grant.missingTokens;
        if (grant.sharedPartId !== undefined) {
            this.#options.promptLocations.record(grant.sharedPartId, grant.target.descriptor.id, now);
        }
        const measuredMs = now - grant.grantedAt;
        grant.target.recordFirstEvent(measuredMs, grant.expectedMs);
        if (this.#service.engine) {
            this.#engineModel.recordFirstEvent(grant.tokensAhead, measuredMs - grant.overheadMs, now);
        }
        this.advance(now);
    }

    /** Releases a grant; `wasStarted` is true if `start` was called for it. */
    release(grant: TargetGrant, wasStarted: boolean, now: number): void {
        grant.target.activity.remove(grant);
        grant.target.inFlight -= 1;
        if (!wasStarted) {
            grant.target.pendingTokens -= grant.missingTokens;
        }
        this.advance(now);
    }

    /** Grants targets to waiting requests in fair order and refuses those that can no longer meet their objective. */
    advance(now: number): void {
        if (this.#waiting.length === 0) {
            return;
        }
        const blocked = new Set<string>();
        const decided = sortWaiting(this.#waiting, this.#options.usage, now, this.returns).map((waiting, i) =>
            [waiting, this.#tryResolve(waiting, blocked, () => i, now)] as const
        );
        this.#waiting = decided.filter(([, { kind }]) => kind === "waiting").map(([waiting]) => waiting);
        decided.forEach(([waiting, decision]) => this.returns.recordDecision(waiting, decision, now));
        decided.forEach(([waiting, decision]) => notifyWaiting(waiting, decision));
    }

    /** Decides on one request; an unexpected error must not keep the others of the same pass from their grants. */
    #tryResolve(
        waiting: WaitingRequest,
        blocked: Set<string>,
        countAhead: () => number,
        now: number,
    ): SchedulerDecision {
        try {
            return this.#resolve(waiting, blocked, countAhead, now);
        }
        catch (error) {
            return { kind: "failed", error };
        }
    }

    /**
     * Decides on one request.
     *
     * @param blocked Kinds of requests for which no target has capacity; further requests of these kinds are not tried.
     * @param countAhead Counts the waiting requests that go before this one.
     */
    #resolve(
        waiting: WaitingRequest,
        blocked: Set<string>,
        countAhead: () => number,
        now: number,
    ): SchedulerDecision {
        const { request, isResume } = waiting;
        const refusal = this.#options.crashRecord.findRefusal(request, now);
        if (refusal) {
            return { kind: "refused", reason: refusal.reason, retryAfterMs: refusal.until - now };
        }
        const { kind: shareKind, shareRatio, returnMs } = this.#shares.getStatus(request.account, now);
        const kind = this.returns.hasClaim(waiting) ? "within" : shareKind;
        const isExcluded = kind === "excluded";
        const grant = isExcluded ? undefined : this.#granter.tryGrant(waiting, kind === "over", blocked, now);
        if (grant) {
            return { kind: "granted", grant };
        }
        const readingMs = this.#waits.estimateReadingMs(request, now);
        const waitDeadline = this.returns.findWaitDeadline(waiting, readingMs)
            ?? findWaitDeadline(request, kind === "over", readingMs);
        const hopeless = this.prospects.findHopeless(waiting, waitDeadline, now);
        if (hopeless) {
            return { kind: "refused", ...hopeless, shareRatio };
        }
        const permitMs = this.#waits.estimatePermitMs(request, countAhead, now);
        const mayWait = !isExcluded || this.returns.has(waiting);
        if (isResume || (mayWait && now < waitDeadline && now + permitMs < waitDeadline)) {
            return { kind: "waiting" };
        }
        this.#options.limits.addRefusal(this.#service.name, now);
        const earliestMs = Math.max(returnMs, permitMs);
        const estimatedMs = Math.max(earliestMs, this.#waits.estimateReturnMs(this.#waiting, now));
        const plan = this.returns.planReturn(request, { earliestMs, estimatedMs, readingMs }, now);
        const reason = this.#targets.size === 0 ? "no-target" : "overloaded";
        return { kind: "refused", reason, ...plan, shareRatio };
    }
}
