import { findInactivity } from "../routing/findInactivity.js";
import type { TargetActivity } from "./targetActivity.js";

interface AttemptSilence extends Readonly<Parameters<typeof findInactivity>[0]> {
    /** What the target has shown to others; `undefined` if only the attempt counts. */
    readonly activity: TargetActivity | undefined;
    /** Monotonic time in milliseconds without those in which the process was suspended. */
    readonly now: number;
}

/** A healthy target may be silent for a second or so; a fifth more is for the network and late timers. */
const MAX_PAUSE_MS = 1200;
/** A request that is sent to a silent target gives it this long: a round trip to any region and the time to begin. */
const MIN_SILENCE_MS = 100;

/**
 * Returns the reason why an attempt needs a further target, or `undefined` if it does not: its target answers nothing to anyone, or
 * the attempt has been silent for longer than it may be. A target that is busy answers others meanwhile.
 */
export function findSilence({ activity, now, ...attempt }: AttemptSilence): string | undefined {
    const isWaiting = activity !== undefined && !attempt.hasEvents && attempt.inactiveMs >= MIN_SILENCE_MS;
    if (isWaiting && activity.getOverdueMs(now) >= MAX_PAUSE_MS) {
        return "unresponsive";
    }
    return findInactivity(attempt);
}
