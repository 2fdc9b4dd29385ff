interface SilenceFacts {
    /** Monotonic times in milliseconds. */
    readonly now: number;
    readonly lastDataAt: number;
    /** True once the first event has arrived. */
    readonly hasEvents: boolean;
    readonly objectiveMs: number;
}

/** A repeatable request without an answer after this many objectives is sent to another target. */
const SILENT_OBJECTIVES = 1.5;
const MIN_SILENT_MS = 500;
/** A resumable stream goes on elsewhere after this pause, before callers give up at about 3 s. */
const MAX_PAUSE_MS = 1200;

/** Returns why a target counts as silent, or `undefined` while it does not. */
export function findSilence({ now, lastDataAt, hasEvents, objectiveMs }: SilenceFacts): string | undefined {
    const silentMs = now - lastDataAt;
    if (hasEvents) {
        return silentMs >= MAX_PAUSE_MS ? "stalled" : undefined;
    }
    return silentMs >= Math.max(MIN_SILENT_MS, objectiveMs * SILENT_OBJECTIVES) ? "silent" : undefined;
}
