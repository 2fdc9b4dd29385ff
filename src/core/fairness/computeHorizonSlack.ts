import { horizonLimits } from "./horizonLimits.js";
import type { LevelAdvance } from "./levelAdvance.js";

/**
 * H covers the rise of this time. The level in a lease state is up to 4.5 s old: two reports at the longest interval
 * (1 s) and the passage of counters through a tree of depth 2 (2.5 s). An entry in step with the others must not have
 * to return slots because of that age. In one trial run each (7 daemons, 16 accounts, 15 s, seed 1, busy machine)
 * the owners granted 1,704 slots and a daemon sent 5.7 KB/s with 2 s, and 896 slots and 3.5 KB/s with 5 s.
 */
const HORIZON_MS = 5000;
/** A rate measured over less time than this says too little. */
const MIN_OBSERVED_MS = 500;

/**
 * Returns H of the gap bound in tokens per unit of share: how far above the lowest waiting account of a pool an
 * entry may reuse a slot without asking.
 */
export function computeHorizonSlack(advance: LevelAdvance | undefined): number {
    const { min, max } = horizonLimits;
    if (advance === undefined || advance.recentMs < MIN_OBSERVED_MS) {
        return min;
    }
    return Math.min(max, Math.max(min, HORIZON_MS * advance.recentRise / advance.recentMs));
}
