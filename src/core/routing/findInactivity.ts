interface AttemptActivity {
    /** Time in milliseconds since the response last made progress. */
    readonly inactiveMs: number;
    /** True once the first event has arrived. */
    readonly hasEvents: boolean;
    readonly objectiveMs: number;
    /** Expected time to the first event at this target, and a high estimate of its pauses between events. */
    readonly expectedFirstMs: number;
    readonly expectedPauseMs: number;
}

/** A repeatable request without a response is sent to another target after this multiple of its latency objective. */
const TIMEOUT_OBJECTIVES = 1.5;
/** A target that usually takes longer gets this multiple of what it is expected to take. */
const TIMEOUT_EXPECTATIONS = 3;
const MIN_TIMEOUT_MS = 500;
/** Callers give up on a silent stream after four objectives or two seconds, whichever is longer. */
const MAX_TIMEOUT_OBJECTIVES = 3;
const MAX_TIMEOUT_MS = 1600;
/** A resumable stream moves to another target after a pause within these limits, before callers give up at about 3 s. */
const MIN_STREAM_TIMEOUT_MS = 1200;
const MAX_STREAM_TIMEOUT_MS = 2400;

/** Returns the reason why a target counts as unresponsive, or `undefined` if it does not. */
export function findInactivity(activity: AttemptActivity): string | undefined {
    const { inactiveMs, hasEvents, objectiveMs, expectedFirstMs, expectedPauseMs } = activity;
    if (hasEvents) {
        const limitMs = Math.min(MAX_STREAM_TIMEOUT_MS, Math.max(MIN_STREAM_TIMEOUT_MS, expectedPauseMs));
        return inactiveMs >= limitMs ? "stalled" : undefined;
    }
    const shortestMs = Math.max(MIN_TIMEOUT_MS, objectiveMs * TIMEOUT_OBJECTIVES);
    const longestMs = Math.max(shortestMs, MAX_TIMEOUT_MS, objectiveMs * MAX_TIMEOUT_OBJECTIVES);
    const limitMs = Math.min(longestMs, Math.max(shortestMs, expectedFirstMs * TIMEOUT_EXPECTATIONS));
    return inactiveMs >= limitMs ? "silent" : undefined;
}
