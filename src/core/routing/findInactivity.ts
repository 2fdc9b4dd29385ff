interface AttemptActivity {
    /** Time in milliseconds since the response last made progress. */
    readonly inactiveMs: number;
    /** True once the first event has arrived. */
    readonly hasEvents: boolean;
    readonly objectiveMs: number;
    /** Expected time to the first event at this target, and a high estimate of its pauses between events. */
    readonly expectedFirstMs: number;
    /** Time in milliseconds that the first bytes of the target's responses rarely exceed; 0 if none is known. */
    readonly longFirstMs: number;
    readonly expectedPauseMs: number;
}

/** A target counts as silent after this multiple of the latency objective without a response. */
const TIMEOUT_OBJECTIVES = 1.5;
/** A target that is expected to take longer gets this multiple of what it is expected to take. */
const TIMEOUT_EXPECTATIONS = 3;
const MIN_TIMEOUT_MS = 500;
/** Callers give up on a silent stream after four objectives or two seconds, whichever is longer. */
const MAX_TIMEOUT_OBJECTIVES = 3;
const MAX_TIMEOUT_MS = 1600;
/** A target counts as stalled after a pause within these limits, before callers give up at about 3 s. */
const MIN_STREAM_TIMEOUT_MS = 1200;
const MAX_STREAM_TIMEOUT_MS = 2400;

/**
 * Returns the reason why a target counts as unresponsive, or `undefined` if it does not. A sound target may be silent for
 * as long, so that its attempt is given up only for a better one.
 */
export function findInactivity(activity: AttemptActivity): string | undefined {
    const { inactiveMs, hasEvents, objectiveMs, expectedFirstMs, longFirstMs, expectedPauseMs } = activity;
    if (hasEvents) {
        const limitMs = Math.min(MAX_STREAM_TIMEOUT_MS, Math.max(MIN_STREAM_TIMEOUT_MS, expectedPauseMs));
        return inactiveMs >= limitMs ? "stalled" : undefined;
    }
    const shortestMs = Math.max(MIN_TIMEOUT_MS, objectiveMs * TIMEOUT_OBJECTIVES);
    const longestMs = Math.max(shortestMs, MAX_TIMEOUT_MS, objectiveMs * MAX_TIMEOUT_OBJECTIVES);
    const usualMs = Math.max(longFirstMs, expectedFirstMs * TIMEOUT_EXPECTATIONS);
    const limitMs = Math.min(longestMs, Math.max(shortestMs, usualMs));
    return inactiveMs >= limitMs ? "silent" : undefined;
}
