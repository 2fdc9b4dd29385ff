import type { TargetCandidate } from "../../routing/targetCandidate.js";
import { listNearBest } from "../../targetSpeed/listNearBest.js";

/**
 * Lists the candidates among which `TargetPicker.pick` chooses.
 *
 * @param isWeighted Whether it chooses by weight among those that are nearly as good, or takes the lowest score.
 */
export function listPossible(
    candidates: readonly TargetCandidate[],
    isWeighted: boolean,
): ReadonlySet<TargetCandidate> {
    if (isWeighted) {
        return new Set(listNearBest(candidates).map(({ candidate }) => candidate));
    }
    const lowest = Math.min(...candidates.map(({ score }) => score));
    return new Set(candidates.filter(({ score }) => score <= lowest));
}
