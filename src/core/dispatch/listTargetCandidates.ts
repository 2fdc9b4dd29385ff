import { computeDistance } from "./computeDistance.js";
import { countInUse } from "./countInUse.js";
import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchState } from "./dispatchState.js";
import type { TargetCandidate } from "./targetCandidate.js";

/** Lists the targets of a service that are in service and have a free slot, the preferred one first. */
export function listTargetCandidates(
    state: DispatchState,
    service: string,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
): readonly TargetCandidate[] {
    const inUse = countInUse(state);
    const candidates: TargetCandidate[] = [];
    for (const dataCentre of inputs.index.dataCentres.keys()) {
        const distance = computeDistance(inputs.index, inputs.dataCentre, dataCentre);
        for (const target of inputs.index.getPool(service, dataCentre)) {
            if (!inputs.index.isInService(target)) {
                continue;
            }
            const allowance = policy.getAllowance(state, target, inputs);
            const used = inUse.get(target.name) ?? 0;
            if (used < allowance.slots && allowance.startDeadline > inputs.now) {
                candidates.push({ target, distance, allowance, inUse: used });
            }
        }
    }
    return candidates.sort((a, b) => policy.compareTargets(a, b));
}
