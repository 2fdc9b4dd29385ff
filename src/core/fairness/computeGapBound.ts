interface GapBoundInput {
    /**
     * H: how far above the lowest waiting account a slot may be reused without a new grant, in tokens per unit of
     * share.
     */
    readonly horizon: number;
    /** m: largest number of slots that one account holds while another waits. */
    readonly slotsPerAccount: number;
    /** Cmax: largest cost of one request in tokens. */
    readonly maxCost: number;
    /** Smallest share of an account. */
    readonly minShare: number;
    /** R: tokens per second of the whole fleet. */
    readonly tokensPerSecond: number;
    /** Levels of the aggregation tree below the root. */
    readonly depth: number;
    readonly exchangeIntervalMs: number;
}

/** Returns the largest service gap between two backlogged accounts, in tokens per unit of share (design 3.1). */
export function computeGapBound(input: GapBoundInput): number {
    const delaySeconds = (2 * input.depth + 1) * input.exchangeIntervalMs / 1000;
    return input.horizon
        + 2 * input.slotsPerAccount * input.maxCost / input.minShare
        + input.tokensPerSecond * delaySeconds / input.minShare;
}
