import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchSelection } from "./dispatchSelection.js";
import type { DispatchState } from "./dispatchState.js";
import { findReachFault } from "./findReachFault.js";
import { listQueueCandidates } from "./listQueueCandidates.js";
import { listTargetCandidates } from "./listTargetCandidates.js";

/** Returns the request of a service that starts next, or `undefined` when no request may start. */
export function selectNextRequest(
    state: DispatchState,
    service: string,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
): DispatchSelection | undefined {
    const targets = listTargetCandidates(state, service, policy, inputs);
    if (targets.length === 0) {
        return undefined;
    }
    const queues = listQueueCandidates(state, service, inputs);
    for (const queue of [...queues].sort((a, b) => policy.compareQueues(a, b))) {
        const excluded = collectExcluded(queue.head.ticket.excludedTargets, service, inputs);
        const target = targets.find(candidate =>
            !excluded.has(candidate.target.name)
            && findReachFault(state, queue, candidate, policy, inputs) === undefined
        );
        if (target) {
            return { queue, target };
        }
    }
    return undefined;
}

/** Excludes nothing for a request that failed at every target in service, because waiting would not help. */
function collectExcluded(
    excludedTargets: readonly string[],
    service: string,
    inputs: DispatchInputs,
): ReadonlySet<string> {
    const excluded = new Set(excludedTargets);
    if (excluded.size === 0) {
        return excluded;
    }
    const hasAlternative = inputs.index.configuration.targets.some(target =>
        target.service === service && inputs.index.isInService(target) && !excluded.has(target.name)
    );
    return hasAlternative ? excluded : new Set();
}
