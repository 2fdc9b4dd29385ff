import type { TargetCandidate } from "../../routing/targetCandidate.js";

/** Lists the candidates among which `TargetPicker.pick` chooses: those with the lowest score. */
export function listPossible(candidates: readonly TargetCandidate[]): ReadonlySet<TargetCandidate> {
    const lowest = Math.min(...candidates.map(({ score }) => score));
    return new Set(candidates.filter(({ score }) => score <= lowest));
}
