import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchState } from "./dispatchState.js";
import type { QueueCandidate } from "./queueCandidate.js";
import type { TargetCandidate } from "./targetCandidate.js";

/** Returns why a queue may not use a free slot of a target now; `undefined` if it may. */
export function findReachFault(
    state: DispatchState,
    queue: QueueCandidate,
    { target }: Pick<TargetCandidate, "target">,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
): "beyond-horizon" | "beyond-reach" | undefined {
    if (!policy.isWithinHorizon(state, queue, target)) {
        return "beyond-horizon";
    }
    const interest = policy.computeInterest(state, queue, target.dataCentre, inputs);
    return ["ask", "use"].includes(interest) ? undefined : "beyond-reach";
}
