import type { StopPlan } from "./stopPlan.js";

/** Callers cache a directory response for up to three times its term, so new connections arrive for about that long. */
const LINGER_SHARE = 0.75;
/** The platform excuses the end of a request only if it was sent within 3 s of the signal; the rest is for a late signal. */
const ESTIMATE_MS = 2800;
/** Reserved for the last responses, the close of connections and the log. */
const STOP_MARGIN_MS = 400;
/** A request at its deadline is answered at the next check of the deadlines. */
const FINISH_MARGIN_MS = 200;

/** Plans a stop that begins at `startedAt`, after which the process is killed when `stopTimeoutMs` have passed. */
export function planStop(startedAt: number, stopTimeoutMs: number): StopPlan {
    const stopBy = startedAt + stopTimeoutMs - STOP_MARGIN_MS;
    return {
        lingerUntil: startedAt + stopTimeoutMs * LINGER_SHARE,
        estimateUntil: startedAt + ESTIMATE_MS,
        finishBy: stopBy - FINISH_MARGIN_MS,
        stopBy,
    };
}
