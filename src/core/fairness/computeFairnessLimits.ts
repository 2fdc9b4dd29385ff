import type { Configuration } from "../configuration/configuration.js";
import { computeGapBound } from "./computeGapBound.js";

interface FairnessLimits {
    /** Bound of the gap between two backlogged accounts, in tokens per unit of share. */
    readonly gapBound: number;
    readonly maxLag: number;
    readonly remoteLagThreshold: number;
}

interface FairnessLimitsInput {
    readonly configuration: Configuration;
    readonly depth: number;
    readonly exchangeIntervalMs: number;
    /** H in tokens per unit of share. */
    readonly horizon: number;
}

/** Largest cost of one request in tokens that the limits provide for; the longest prompts and answers in use. */
const MAX_COST = 8192;
/** Tokens per second of one slot: the users expect at most 51 ms between tokens. */
const TOKENS_PER_SLOT_SECOND = 20;

/**
 * Derives the limits from the configuration alone, so that all daemons with one revision use the same. The lag
 * limit equals the gap bound: a larger lag arises only from a partition or an idle time, so the limit does not
 * change the order in normal operation.
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
