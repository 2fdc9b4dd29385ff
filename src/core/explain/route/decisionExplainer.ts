import { pickCapacityClass } from "../../admission/pickCapacityClass.js";
import type { LimitGate } from "../../limits/limitGate.js";
import type { AccountShares } from "../../routing/accountShares.js";
import type { AccountUsage } from "../../routing/accountUsage.js";
import { countRequestTokens } from "../../routing/countRequestTokens.js";
import type { RoutedRequest } from "../../routing/routedRequest.js";
import type { SchedulerDecision } from "../../routing/schedulerDecision.js";
import type { TargetEligibility } from "../../routing/targetEligibility.js";
import type { TargetGranter } from "../../routing/targetGranter.js";
import type { TargetState } from "../../routing/targetState.js";
import type { WaitingRequest } from "../../routing/waitingRequest.js";
import type { ServiceSpeeds } from "../../targetSpeed/serviceSpeeds.js";
import { findReason } from "./findReason.js";
import type { SchedulerExplanation } from "./schedulerExplanation.js";

interface DecisionExplainerOptions {
    readonly usage: AccountUsage;
    readonly limits: LimitGate;
    readonly shares: AccountShares;
    readonly eligibility: TargetEligibility;
    /** Targets of the service by identifier. */
    readonly targets: ReadonlyMap<string, TargetState>;
    readonly granter: TargetGranter;
    readonly speeds: Pick<ServiceSpeeds, "isActive">;
    /** Returns the retry delay in milliseconds of a request whose account is excluded before its body is read. */
    readonly findRetryDelay: (request: RoutedRequest, now: number) => number | undefined;
    /** Decides on a new request; while `isActive`, without an effect. */
    readonly add: (waiting: WaitingRequest, now: number) => SchedulerDecision;
}

/**
 * Runs the decision of a scheduler on a request that does not exist. All that a decision counts or reserves goes through this
 * class, or depends on `isActive`; token buckets, which refill as they are read, are restored.
 */
export class DecisionExplainer {
    readonly #options: DecisionExplainerOptions;
    #isActive = false;

    private constructor(options: DecisionExplainerOptions) {
        this.#options = options;
    }

    /** Creates an explainer of the decisions of one scheduler. */
    static create(options: DecisionExplainerOptions): DecisionExplainer {
        return new DecisionExplainer(options);
    }

    /** True while a decision is only explained, which must change nothing. */
    get isActive(): boolean {
        return this.#isActive;
    }

    /**
     * Returns the fair-share status of a request's account. The demand of a request that is only explained does not count; it
     * would raise the account's part of its share, but `findRetryDelay` has compared the account without it.
     */
    getStatus({ account }: RoutedRequest, now: number): ReturnType<AccountShares["getStatus"]> {
        const { shares } = this.#options;
        return this.#isActive ? shares.estimateStatus(account, now) : shares.getStatus(account, now);
    }

    /** Records the demand of a request's account, unless the request is only explained. */
    addDemand(request: RoutedRequest, now: number): void {
        if (!this.#isActive) {
            this.#options.usage.addDemand(request.account, countRequestTokens(request), now);
        }
    }

    /** Records a request for a service, unless it is only explained. */
    addRequest(service: string, now: number): void {
        if (!this.#isActive) {
            this.#options.limits.addRequest(service, now);
        }
    }

    /**
     * Records a refusal because no target had capacity, unless the request is only explained.
     *
     * @param isExcluded Whether the request was refused for what its account has used, so that no target was tried.
     */
    addRefusal(service: string, request: RoutedRequest, isExcluded: boolean, now: number): void {
        if (this.#isActive) {
            return;
        }
        const { limits, shares } = this.#options;
        limits.addRefusal(service, now);
        if (!isExcluded) {
            shares.recordRefusal(request.account, countRequestTokens(request), now);
        }
    }

    /** Returns what would be decided on a new request now, and how the targets of the service compare. */
    explain(request: RoutedRequest, now: number): SchedulerExplanation {
        const restores = [...this.#options.targets.values()].map(({ coldBucket }) => coldBucket.keep());
        this.#isActive = true;
        try {
            return this.#explain(makeWaiting(request), now);
        }
        finally {
            this.#isActive = false;
            restores.forEach(restore => restore());
        }
    }

    #explain(waiting: WaitingRequest, now: number): SchedulerExplanation {
        const { eligibility, targets, granter, findRetryDelay, add } = this.#options;
        const { request } = waiting;
        const retryAfterMs = findRetryDelay(request, now);
        const status = this.getStatus(request, now);
        const compared = granter.compareTargets(waiting, pickCapacityClass(status.kind), now);
        const results = [...targets.values()].map(target => ({
            target,
            result: compared.get(target) ?? findReason(target, request, eligibility, now),
        }));
        return {
            status,
            decision: retryAfterMs === undefined
                ? add(waiting, now)
                : { kind: "refused", reason: "over-share", retryAfterMs },
            candidates: results.flatMap(({ result }) => typeof result === "string" ? [] : [result])
                .sort((a, b) => a.score - b.score),
            isChoiceWeighted: this.#options.speeds.isActive,
            leftOut: results.flatMap(({ target: { descriptor }, result }) =>
                typeof result === "string" ? [{ target: descriptor, reason: result }] : []
            ),
        };
    }
}

function makeWaiting(request: RoutedRequest): WaitingRequest {
    return {
        request,
        excludedTargets: new Set(),
        isResume: false,
        onGrant: () => undefined,
        onRefuse: () => undefined,
        onError: () => undefined,
    };
}
