interface GapBoundInput {
    /** Slots of all targets together. */
    readonly slots: number;
    /** Largest possible rate of all targets together in tokens per second. */
    readonly tokensPerSecond: number;
    /** Levels of the aggregation tree below the root. */
    readonly depth: number;
    /** Largest cost of one request in tokens. */
    readonly maxCost: number;
    readonly minShare: number;
}

/** How far above the lowest waiting account an entry may reuse a slot, in tokens per unit of share. */
const HORIZON = 4000;
const EXCHANGE_INTERVAL_SECONDS = 0.5;

/**
 * Bound of the gap by the formula in design 3.1, in tokens per unit of share. One account may hold all slots (m) while
 * another waits, because it had them before the other began to wait.
 */
export function computeExpectedGapBound(input: GapBoundInput): number {
    const tau = (2 * input.depth + 1) * EXCHANGE_INTERVAL_SECONDS;
    return HORIZON
        + 2 * input.slots * input.maxCost / input.minShare
        + input.tokensPerSecond * tau / input.minShare;
}
