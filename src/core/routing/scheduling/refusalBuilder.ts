import type { DecisionExplainer } from "../../explain/route/decisionExplainer.js";
import type { ServiceReturns } from "../../returns/serviceReturns.js";
import { limitRetryAfter } from "../limitRetryAfter.js";
import type { RoutedRequest } from "../routedRequest.js";
import type { RoutedService } from "../routedService.js";
import type { SchedulerRefusal } from "../schedulerRefusal.js";
import type { WaitEstimator } from "../waitEstimator.js";
import type { WaitingRequest } from "../waitingRequest.js";

interface RefusalBuilderOptions {
    readonly explainer: DecisionExplainer;
    readonly returns: ServiceReturns;
    readonly waits: WaitEstimator;
    readonly getService: () => RoutedService;
    readonly countTargets: () => number;
}

/** What decides a refusal for want of capacity; times in milliseconds. */
interface RefusalCause {
    /** Whether the request was refused for what its account has used, so that no target was tried. */
    readonly isExcluded: boolean;
    readonly shareRatio: number;
    /** Time until the account gets capacity again. */
    readonly returnMs: number;
    /** Time until a permit for a target with a request limit is expected. */
    readonly permitMs: number;
    /** Time that a target takes to read the prompt. */
    readonly readingMs: number;
}

/** Builds the refusals of requests for which no target has capacity, with the time to come again. */
export class RefusalBuilder {
    readonly #options: RefusalBuilderOptions;

    private constructor(options: RefusalBuilderOptions) {
        this.#options = options;
    }

    /** Creates the refusals of a service. */
    static create(options: RefusalBuilderOptions): RefusalBuilder {
        return new RefusalBuilder(options);
    }

    /** Records and builds a refusal. */
    build(
        request: RoutedRequest,
        { isExcluded, shareRatio, returnMs, permitMs, readingMs }: RefusalCause,
        waiting: readonly WaitingRequest[],
        now: number,
    ): SchedulerRefusal {
        const { explainer, returns, waits, getService, countTargets } = this.#options;
        explainer.addRefusal(getService().name, request, isExcluded, now);
        const reason = countTargets() === 0 ? "no-target" : "overloaded";
        const earliestMs = Math.max(returnMs, permitMs);
        const estimatedMs = Math.max(earliestMs, waits.estimateReturnMs(waiting, now));
        const plan = reason === "no-target"
            ? { retryAfterMs: limitRetryAfter(estimatedMs, request.requestId) }
            : returns.planReturn(request, { earliestMs, estimatedMs, readingMs }, now, explainer.isActive);
        return { reason, ...plan, shareRatio };
    }

    /** Returns the retry delay in milliseconds if the account is excluded; the request then still counts as demand. */
    findRetryDelay(request: RoutedRequest, now: number): number | undefined {
        const { explainer, returns } = this.#options;
        const { kind, returnMs } = explainer.getStatus(request, now);
        const isReturning = !explainer.isActive && returns.mayWait(request, now);
        if (kind !== "excluded" || isReturning) {
            return undefined;
        }
        explainer.addDemand(request, now);
        const times = { earliestMs: returnMs, estimatedMs: returnMs, readingMs: 0 };
        return returns.planReturn(request, times, now, explainer.isActive).retryAfterMs;
    }
}
