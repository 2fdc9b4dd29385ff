interface SilenceFacts {
    /** Monotonic times in milliseconds. */
    readonly now: number;
    readonly lastDataAt: number;
    /** True once the first event has arrived. */
    readonly hasEvents: boolean;
    readonly objectiveMs: number;
}

/** A repeatable request without a response is sent to another target after this multiple of its latency objective. */
const SILENT_OBJECTIVES = 1.5;
const MIN_SILENT_MS = 500;
/** A resumable stream moves to another target after this pause, before callers give up at about 3 s. */
const MAX_PAUSE_MS = 1200;

/** Returns the reason why a target counts as unresponsive, or `undefined` if it does not. */
export function findSilence({ now, lastDataAt, hasEvents, objectiveMs }: SilenceFacts): string | undefined {
    const silentMs = now - lastDataAt;
    if (hasEvents) {
        return silentMs >= MAX_PAUSE_MS ? "stalled" : undefined;
    }
    return silentMs >= Math.max(MIN_SILENT_MS, objectiveMs * SILENT_OBJECTIVES) ? "silent" : undefined;
}
