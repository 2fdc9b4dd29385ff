import type { CostHistory } from "./costHistory.js";

/**
 * Returns the expected cost of a request in tokens: the average of the account's own history, capped by the hint.
 * The cap is scaled by how much earlier requests exceeded their hints, so understated hints bring no earlier
 * service.
 *
 * @param defaultCost Estimate in tokens for an account without history.
 */
export function estimateCost(
    history: CostHistory | undefined,
    hint: number | undefined,
    defaultCost: number,
): number {
    const expected = history?.averageCost ?? defaultCost;
    if (hint === undefined || hint <= 0 || history === undefined) {
        return expected;
    }
    return Math.min(expected, hint * Math.max(1, history.hintRatio));
}
