import { pickCapacityClass } from "../admission/pickCapacityClass.js";
import { DecisionExplainer } from "../explain/route/decisionExplainer.js";
import { ServiceReturns } from "../returns/serviceReturns.js";
import { ServiceSpeeds } from "../targetSpeed/serviceSpeeds.js";
import { AccountShares } from "./accountShares.js";
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
import { recordRelease } from "./scheduling/recordRelease.js";
import { recordStart } from "./scheduling/recordStart.js";
import { RefusalBuilder } from "./scheduling/refusalBuilder.js";
import { resolveAll } from "./scheduling/resolveAll.js";
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
    /** Explains what `findRetryDelay` and `enqueue` would decide on a new request; changes nothing. */
    readonly explainer: DecisionExplainer;
    readonly #engineModel: EngineModel;
    readonly #waits: WaitEstimator;
    readonly #refusals: RefusalBuilder;
    /** Refused requests that come again. */
    readonly returns: ServiceReturns;
    #service: RoutedService;
    readonly #targets = new Map<string, TargetState>();
    /** Speeds of the targets. */
    readonly speeds = ServiceSpeeds.create(this.#targets);
    #evacuated: ReadonlySet<string> = new Set();
    #waiting: WaitingRequest[] = [];

    private constructor(options: ServiceSchedulerOptions) {
        this.#options = options;
        this.#service = options.service;
        const shares = AccountShares.create({
            usage: options.usage,
            getTokensPerSecond: () => this.#service.engine ? options.getTokensPerSecond() : 0,
            pressure: options.pressure,
            // Plain services have no shares, and what they refuse does not show that engines are short.
            isWorkConserving: () =>
                (options.sharesIdleCapacity === true || this.speeds.isActive)
                && this.#service.engine !== undefined,
        });
        this.#engineModel = EngineModel.create(options.settings);
        this.returns = ServiceReturns.create(() =>
            this.#targets.size > 0 && (options.usesReservations?.(this.#service.name) ?? false)
        );
        const shared = {
            ...options,
            targets: this.#targets,
            engineModel: this.#engineModel,
            getService: () => this.#service,
            speeds: this.speeds,
            countTargets: () => this.#targets.size,
        };
        const eligibility = TargetEligibility.create({
            ...shared,
            getEvacuated: () => this.#evacuated,
            mayBegin: target => options.mayBegin(target, this.explainer.isActive),
        });
        this.prospects = RequestProspects.create(eligibility, shared.countTargets);
        this.#granter = TargetGranter.create({
            ...shared,
            eligibility,
            isExplaining: () => this.explainer.isActive,
        });
        this.explainer = DecisionExplainer.create({
            ...shared,
            shares,
            eligibility,
            granter: this.#granter,
            findRetryDelay: (...args) => this.findRetryDelay(...args),
            add: (...args) => this.#add(...args),
        });
        this.#waits = WaitEstimator.create({
            ...shared,
            hasOnlyLimited: request => eligibility.hasOnlyLimited(request),
        });
        const { explainer, returns } = this;
        this.#refusals = RefusalBuilder.create({ ...shared, explainer, returns, waits: this.#waits });
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
        replaceTargetStates(this.#targets, targets, this.#service.engine?.memoryTokens, now, this.speeds);
        markPresumedCold(this.#targets.values(), reinstated, now + this.#service.warmupMs);
    }

    /** Adds a request, which is granted a target or refused, now or later. */
    enqueue(waiting: WaitingRequest, now: number): void {
        const decision = this.#add(waiting, now);
        if (decision.kind === "waiting") {
            this.#waiting.push(waiting);
        }
        this.returns.recordDecision(waiting, decision, now);
        notifyWaiting(waiting, decision);
    }

    #add(waiting: WaitingRequest, now: number): SchedulerDecision {
        const { request, isResume } = waiting;
        if (this.#waiting.length >= MAX_WAITING && !isResume) {
            const retryAfterMs = limitRetryAfter(Number.POSITIVE_INFINITY, request.requestId);
            return { kind: "refused", reason: "overloaded", retryAfterMs };
        }
        this.explainer.addRequest(this.#service.name, now);
        if (!isResume && !this.#options.crashRecord.findRefusal(request, now)) {
            this.explainer.addDemand(request, now);
        }
        if (!this.explainer.isActive) {
            this.returns.add(waiting, now);
        }
        // Requests already waiting could not use the free slots, so only the new one is tried.
        const countAhead = (): number => this.#waits.countAhead(waiting, this.#waiting, now);
        return this.#resolve(waiting, new Set(), countAhead, now);
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
        const { kind } = this.explainer.getStatus(request, now);
        const isRefused = kind === "excluded" || crashRecord.findRefusal(request, now);
        const grant = isRefused
            ? undefined
            : this.#granter.tryGrant({ request, excludedTargets }, pickCapacityClass(kind), new Set(), now);
        if (grant) {
            limits.addRequest(this.#service.name, now);
        }
        return grant;
    }

    /** Returns the retry delay in milliseconds if the account is excluded; the request then still counts as demand. */
    findRetryDelay(request: RoutedRequest, now: number): number | undefined {
        return this.#refusals.findRetryDelay(request, now);
    }

    /** Removes a waiting request whose caller has disconnected. */
    withdraw(waiting: WaitingRequest): void {
        this.#waiting = this.#waiting.filter(other => other !== waiting);
        this.returns.withdraw(waiting);
    }

    /** Records the first event of a response: the target has read the prompt. */
    start(grant: TargetGrant, now: number): void {
        recordStart(grant, {
            promptLocations: this.#options.promptLocations,
            engineModel: this.#service.engine && this.#engineModel,
            now,
        });
        this.advance(now);
    }

    /** Releases a grant; `wasStarted` is true if `start` was called for it. */
    release(grant: TargetGrant, wasStarted: boolean, now: number): void {
        recordRelease(grant, wasStarted);
        this.advance(now);
    }

    /** Grants targets to waiting requests in fair order and refuses those that can no longer meet their objective. */
    advance(now: number): void {
        if (this.#waiting.length === 0) {
            return;
        }
        const sorted = sortWaiting(this.#waiting, this.#options.usage, now, this.returns);
        const decided = resolveAll(sorted, (...args) => this.#resolve(...args, now));
        this.#waiting = decided.filter(([, { kind }]) => kind === "waiting").map(([waiting]) => waiting);
        decided.forEach(([waiting, decision]) => this.returns.recordDecision(waiting, decision, now));
        decided.forEach(([waiting, decision]) => notifyWaiting(waiting, decision));
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
        const { kind: shareKind, shareRatio, returnMs } = this.explainer.getStatus(request, now);
        const kind = this.returns.hasClaim(waiting) ? "within" : shareKind;
        const isExcluded = kind === "excluded";
        const grant = isExcluded
            ? undefined
            : this.#granter.tryGrant(waiting, pickCapacityClass(kind), blocked, now);
        if (grant) {
            return { kind: "granted", grant };
        }
        const readingMs = this.#waits.estimateReadingMs(request, now);
        const waitDeadline = this.returns.findWaitDeadline(waiting, readingMs)
            ?? findWaitDeadline(request, kind === "over" || kind === "surplus", readingMs);
        const hopeless = this.prospects.findHopeless(waiting, waitDeadline, now);
        if (hopeless) {
            return { kind: "refused", ...hopeless, shareRatio };
        }
        const permitMs = this.#waits.estimatePermitMs(request, countAhead, now);
        const mayWait = !isExcluded || this.returns.has(waiting);
        if (isResume || (mayWait && now < waitDeadline && now + permitMs < waitDeadline)) {
            return { kind: "waiting" };
        }
        const cause = { isExcluded, shareRatio, returnMs, permitMs, readingMs };
        return { kind: "refused", ...this.#refusals.build(request, cause, this.#waiting, now) };
    }
}
