import type { LevelTrend } from "./levelTrend.js";

/** Time constant of the decay: 5 s cover several reports of every entry and are short compared with load changes. */
const DECAY_TIME_MS = 5000;

/**
 * Adds an observation of the lowest normalised service of the waiting accounts. While no account waits there is no
 * level, and neither that time nor the rise during it counts: the rise alone would overstate the rate of a pool
 * with short waits.
 */
export function observeLevel(
    trend: LevelTrend | undefined,
    level: number | undefined,
    now: number,
): LevelTrend {
    if (trend?.level === undefined || level === undefined) {
        return {
            level,
            observedAt: now,
            recentRise: trend?.recentRise ?? 0,
            recentMs: trend?.recentMs ?? 0,
        };
    }
    const elapsedMs = Math.max(0, now - trend.observedAt);
    const decay = Math.exp(-elapsedMs / DECAY_TIME_MS);
    return {
        level,
        observedAt: now,
        recentRise: trend.recentRise * decay + level - trend.level,
        recentMs: trend.recentMs * decay + elapsedMs,
    };
}
