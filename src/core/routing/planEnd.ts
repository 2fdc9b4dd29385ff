import type { EndPlan } from "./endPlan.js";

/** Time for callers to close their side. */
const CLOSE_MS = 100;
/** Also an end that begins late answers what has arrived: the process was delayed, and the kill may be, too. */
const MIN_PHASE_MS = 50;
/** Reserved for the other servers and the log. */
const CLOSE_MARGIN_MS = 250;

/** Plans the end of a process that begins at `startedAt` and must be over at `endBy`, in monotonic milliseconds. */
export function planEnd(startedAt: number, endBy: number): EndPlan {
    const answerBy = Math.max(startedAt + MIN_PHASE_MS, endBy - CLOSE_MARGIN_MS - CLOSE_MS);
    return { answerBy, closeBy: answerBy + CLOSE_MS };
}
