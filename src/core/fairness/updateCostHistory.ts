import type { CostHistory } from "./costHistory.js";

/** Weight of the newest request in the moving averages; about the last ten requests count. */
const WEIGHT = 0.2;

/** Adds the cost of a completed request to an account's history. */
export function updateCostHistory(
    history: CostHistory | undefined,
    cost: number,
    hint: number | undefined,
): CostHistory {
    const ratio = hint === undefined || hint <= 0 ? history?.hintRatio ?? 1 : cost / hint;
    if (history === undefined) {
        return { averageCost: cost, hintRatio: ratio };
    }
    return {
        averageCost: history.averageCost + WEIGHT * (cost - history.averageCost),
        hintRatio: history.hintRatio + WEIGHT * (ratio - history.hintRatio),
    };
}
