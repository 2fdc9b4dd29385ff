import { computePauseReturn } from "./computePauseReturn.js";
import { limitRetryAfter } from "./limitRetryAfter.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { SchedulerRefusal } from "./schedulerRefusal.js";
import type { TargetEligibility } from "./targetEligibility.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** A target that has crashed comes back with the version that it had, within seconds. */
const VERSION_RETURN_MS = 1000;

/** Finds the requests that no target can serve in time, whatever capacity becomes free, so that they need not wait. */
export class RequestProspects {
    readonly #eligibility: TargetEligibility;
    readonly #countTargets: () => number;

    private constructor(eligibility: TargetEligibility, countTargets: () => number) {
        this.#eligibility = eligibility;
        this.#countTargets = countTargets;
    }

    /** Creates the prospects of the requests for a service. */
    static create(eligibility: TargetEligibility, countTargets: () => number): RequestProspects {
        return new RequestProspects(eligibility, countTargets);
    }

    /**
     * Returns the refusal of a request that need not wait; `undefined` if it may be served.
     *
     * @param waitDeadline Monotonic time in milliseconds until which a request without an attempt waits.
     */
    findHopeless(waiting: WaitingRequest, waitDeadline: number, now: number): SchedulerRefusal | undefined {
        const { request, isResume } = waiting;
        const outlook = this.#eligibility.findOutlook(waiting, now);
        // While the list of targets is empty, the first ones may be about to register.
        if (outlook.kind === "none" && this.#countTargets() > 0) {
            if (request.origin) {
                return { reason: "version-gone", retryAfterMs: VERSION_RETURN_MS };
            }
            const retryAfterMs = this.findPauseReturn(request, now) ?? limitRetryAfter(0, request.requestId);
            return { reason: "no-target", retryAfterMs };
        }
        if (outlook.kind === "paused" && outlook.until >= (isResume ? request.deadline : waitDeadline)) {
            const retryAfterMs = computePauseReturn(outlook.until - now, request.requestId);
            return { reason: "targets-paused", retryAfterMs };
        }
        return undefined;
    }

    /** Returns when a request should come back, in milliseconds, if all its targets want none; `undefined` otherwise. */
    findPauseReturn(request: RoutedRequest, now: number): number | undefined {
        const outlook = this.#eligibility.findOutlook({ request, excludedTargets: new Set() }, now);
        return outlook.kind === "paused"
            ? computePauseReturn(outlook.until - now, request.requestId)
            : undefined;
    }
}
