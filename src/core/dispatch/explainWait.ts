import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchState } from "./dispatchState.js";
import { listTargetCandidates } from "./listTargetCandidates.js";

/** Returns why a request of a service waits: one of the fixed reasons that counters and `explain` show. */
export function explainWait(
    state: DispatchState,
    service: string,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
): string {
    if (listTargetCandidates(state, service, policy, inputs).length > 0) {
        return "free-slots-beyond-horizon-or-reach";
    }
    const hasSlots = inputs.index.configuration.targets.some(target =>
        target.service === service && policy.getAllowance(state, target, inputs).slots > 0
    );
    return hasSlots ? "slots-in-use" : "no-slots-held";
}
