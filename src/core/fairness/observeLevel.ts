import type { LevelAdvance } from "./levelAdvance.js";

/** Time constant of the decay: 5 s cover several reports of every entry and are short compared with load changes. */
const MEMORY_MS = 5000;

/**
 * Adds an observation of the lowest normalised service of the waiting accounts. While no account waits there is no
 * level, and neither that time nor the rise during it counts: the rise alone would overstate the rate of a pool
 * with short waits.
 */
export function observeLevel(
    advance: LevelAdvance | undefined,
    level: number | undefined,
    now: number,
): LevelAdvance {
    if (advance?.level === undefined || level === undefined) {
        return {
            level,
            observedAt: now,
            recentRise: advance?.recentRise ?? 0,
            recentMs: advance?.recentMs ?? 0,
        };
    }
    const passedMs = Math.max(0, now - advance.observedAt);
    const decay = Math.exp(-passedMs / MEMORY_MS);
    return {
        level,
        observedAt: now,
        recentRise: advance.recentRise * decay + level - advance.level,
        recentMs: advance.recentMs * decay + passedMs,
    };
}
