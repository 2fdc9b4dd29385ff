interface AttemptProgress {
    /** Monotonic times in milliseconds. */
    readonly now: number;
    readonly lastDataAt: number;
    /** True once the first event has arrived. */
    readonly hasEvents: boolean;
    readonly objectiveMs: number;
}

/** A repeatable request without a response is sent to another target after this multiple of its latency objective. */
const TIMEOUT_OBJECTIVES = 1.5;
const MIN_TIMEOUT_MS = 500;
/** A resumable stream moves to another target after this pause, before callers give up at about 3 s. */
const STREAM_TIMEOUT_MS = 1200;

/** Returns the reason why a target counts as unresponsive, or `undefined` if it does not. */
export function findInactivity(
    { now, lastDataAt, hasEvents, objectiveMs }: AttemptProgress,
): string | undefined {
    const inactiveMs = now - lastDataAt;
    if (hasEvents) {
        return inactiveMs >= STREAM_TIMEOUT_MS ? "stalled" : undefined;
    }
    return inactiveMs >= Math.max(MIN_TIMEOUT_MS, objectiveMs * TIMEOUT_OBJECTIVES) ? "silent" : undefined;
}
