import type { Configuration } from "../configuration/configuration.js";
import { computeGapBound } from "./computeGapBound.js";

interface FairnessLimits {
    /** Bound of the gap between two backlogged accounts, in tokens per unit of share. */
    readonly gapBound: number;
    /** An account counts as at most this far behind the highest one, in tokens per unit of share. */
    readonly maxLag: number;
    /** Lag above which an account requests slots of remote regions at once, in tokens per unit of share. */
    readonly remoteLagThreshold: number;
}

interface FairnessLimitsInput {
    readonly configuration: Configuration;
    /** Levels of the aggregation tree below the root. */
    readonly depth: number;
    readonly exchangeIntervalMs: number;
    /** H in tokens per unit of share. */
    readonly horizon: number;
}

/** Largest cost of one request in tokens that the limits allow for: the longest prompts and responses in use. */
const MAX_COST = 8192;
/** Tokens per second of one slot: the users expect at most 51 ms between tokens. */
const TOKENS_PER_SLOT_SECOND = 20;

/**
 * Derives the limits from the configuration alone, so that all instances with the same revision use the same
 * limits. The lag limit equals the gap bound: a larger lag arises only from a partition or an idle period, so the
 * limit does not change the order in normal operation.
 */
export function computeFairnessLimits(input: FairnessLimitsInput): FairnessLimits {
    const { targets, shares } = input.configuration;
    const slots = targets.reduce((sum, target) => sum + target.slotLimit, 0);
    const gapBound = computeGapBound({
        horizon: input.horizon,
        slotsPerAccount: slots,
        maxCost: MAX_COST,
        minShare: Math.min(1, ...shares.map(share => share.weight)),
        tokensPerSecond: slots * TOKENS_PER_SLOT_SECOND,
        depth: input.depth,
        exchangeIntervalMs: input.exchangeIntervalMs,
    });
    return { gapBound, maxLag: gapBound, remoteLagThreshold: gapBound / 2 };
}
