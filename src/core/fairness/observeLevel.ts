import type { LevelAdvance } from "./levelAdvance.js";

/** Rise of about the last 5 s counts: several reports of every entry, and short against a change of load. */
const MEMORY_MS = 5000;

/**
 * Adds an observation of the lowest normalised service of a pool. While nobody waits there is no level, and neither
 * that time nor the rise during it counts: the rise alone would make the rate of a pool with short waits too high.
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
