import { horizonLimits } from "./horizonLimits.js";
import type { LevelTrend } from "./levelTrend.js";

/**
 * H covers the rise of the level during this time. The level in a lease state is up to 4.5 s old: two reports at
 * the longest interval (1 s each) and the propagation of counters through a tree of depth 2 (2.5 s). An entry that
 * keeps up with the others must not have to return slots because of that age. A shorter time costs grants and
 * traffic: in single runs of 15 s (7 instances, 16 accounts) owners granted 1,704 slots and an instance sent 5.7
 * KB/s at 2 s, against 896 slots and 3.5 KB/s at 5 s.
 */
const HORIZON_MS = 5000;
/** A rate measured over less time than this is too uncertain. */
const MIN_OBSERVED_MS = 500;

/**
 * Returns H of the gap bound in tokens per unit of share: how far above the lowest waiting account of a pool an
 * entry may reuse a slot without a new grant.
 */
export function computeHorizonSlack(trend: LevelTrend | undefined): number {
    const { min, max } = horizonLimits;
    if (trend === undefined || trend.recentMs < MIN_OBSERVED_MS) {
        return min;
    }
    return Math.min(max, Math.max(min, HORIZON_MS * trend.recentRise / trend.recentMs));
}
