import { clockMarginMs } from "./clockMarginMs.js";

interface VouchFacts {
    /** Wall-clock times in milliseconds. */
    readonly keyTimeMs: number | undefined;
    /** Start of the holder; it remembers nothing from before. */
    readonly startedAtMs: number;
    /** Time since which the holder has been in the group of the key without a break, in its own view. */
    readonly memberSinceMs: number;
    readonly nowMs: number;
}

const RETENTION_MS = 86_400_000;

/**
 * True if the holder would know of any earlier claim of a key: the key was made while the holder was running
 * and in the group, and its claim cannot have been evicted. A key from the future is not vouched for, because
 * a holder that starts before that time would wrongly vouch for it later.
 */
export function isVouchable(facts: VouchFacts): boolean {
    if (facts.keyTimeMs === undefined) {
        return false;
    }
    const knowsSince = Math.max(facts.startedAtMs, facts.memberSinceMs) + clockMarginMs;
    return facts.keyTimeMs > knowsSince
        && facts.keyTimeMs <= facts.nowMs + clockMarginMs
        && facts.keyTimeMs > facts.nowMs - RETENTION_MS;
}
