import type { DispatchChoice } from "./dispatchChoice.js";
import type { DispatchFacts } from "./dispatchFacts.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchState } from "./dispatchState.js";
import { listQueueCandidates } from "./listQueueCandidates.js";
import { listTargetCandidates } from "./listTargetCandidates.js";

/** Returns the request of a service that starts next, or `undefined` when no request may start. */
export function pickNext(
    state: DispatchState,
    service: string,
    policy: DispatchPolicy,
    facts: DispatchFacts,
): DispatchChoice | undefined {
    const targets = listTargetCandidates(state, service, policy, facts);
    if (targets.length === 0) {
        return undefined;
    }
    const queues = listQueueCandidates(state, service, facts);
    for (const queue of [...queues].sort((a, b) => policy.compareQueues(a, b))) {
        const avoided = collectAvoided(queue.head.ticket.avoidTargets, service, facts);
        const target = targets.find(candidate =>
            !avoided.has(candidate.target.name)
            && policy.isWithinHorizon(state, queue, candidate.target)
            && ["ask", "use"].includes(
                policy.computeInterest(state, queue, candidate.target.dataCentre, facts),
            )
        );
        if (target) {
            return { queue, target };
        }
    }
    return undefined;
}

/** Excludes nothing for a request that failed at every target in service, because waiting would not help. */
function collectAvoided(
    avoidTargets: readonly string[],
    service: string,
    facts: DispatchFacts,
): ReadonlySet<string> {
    const avoided = new Set(avoidTargets);
    if (avoided.size === 0) {
        return avoided;
    }
    const hasOther = facts.index.configuration.targets.some(target =>
        target.service === service && facts.index.isInService(target) && !avoided.has(target.name)
    );
    return hasOther ? avoided : new Set();
}
