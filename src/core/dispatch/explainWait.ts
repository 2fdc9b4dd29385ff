import type { DispatchFacts } from "./dispatchFacts.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchState } from "./dispatchState.js";
import { listTargetCandidates } from "./listTargetCandidates.js";

/** Returns why a request of a service waits: one of the fixed reasons that counters and `explain` show. */
export function explainWait(
    state: DispatchState,
    service: string,
    policy: DispatchPolicy,
    facts: DispatchFacts,
): string {
    if (listTargetCandidates(state, service, policy, facts).length > 0) {
        return "free-slots-beyond-horizon-or-reach";
    }
    const hasSlots = facts.index.configuration.targets.some(target =>
        target.service === service && policy.getAllowance(state, target, facts).slots > 0
    );
    return hasSlots ? "slots-in-use" : "no-slots-held";
}
