import type { LevelAdvance } from "./levelAdvance.js";

/** Rise of about the last 5 s counts: several reports of every entry, and short against a change of load. */
const MEMORY_MS = 5000;

/**
 * Adds an observation of the lowest normalised service of a pool. While nobody waits there is no level, and the
 * time does not count.
 */
export function observeLevel(
    advance: LevelAdvance | undefined,
    level: number | undefined,
    now: number,
): LevelAdvance | undefined {
    if (level === undefined) {
        return advance && { ...advance, observedAt: now };
    }
    if (advance === undefined) {
        return { level, observedAt: now, recentRise: 0, recentMs: 0 };
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
