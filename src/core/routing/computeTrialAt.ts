import type { TargetCrash } from "./targetCrash.js";

/** A refused request is tried again after this many times the pause before its last crash, within these limits. */
const PAUSE_FACTOR = 60;
const MIN_TRIAL_MS = 10_000;
const MAX_TRIAL_MS = 36_000_000;

/**
 * Returns the monotonic time in milliseconds from which a refused request may be tried again. Each trial that crashes
 * delays the next one, so that a request that crashes all its targets is tried three times within ten hours.
 *
 * @param crashes In order of `endedAt`.
 */
export function computeTrialAt(crashes: readonly TargetCrash[]): number {
    const [previous, last] = crashes.slice(-2);
    if (!previous || !last) {
        return Number.NEGATIVE_INFINITY;
    }
    const waitMs = (last.sentAt - previous.endedAt) * PAUSE_FACTOR;
    return last.endedAt + Math.min(MAX_TRIAL_MS, Math.max(MIN_TRIAL_MS, waitMs));
}
