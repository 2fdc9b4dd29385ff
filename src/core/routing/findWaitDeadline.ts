import type { RoutedRequest } from "./routedRequest.js";

/** Share of its objective that a request over its account's share waits; longer waits are billed as late refusals. */
const OVER_SHARE_WAIT_RATIO = 0.12;
/** Time in milliseconds that an idle target takes to begin its response. */
const MIN_START_MS = 40;
/** A stream that is taken up is late already; its caller waits for the next event for at least this long. */
const RESUME_WAIT_MS = 1600;

/**
 * Returns the time after which a request cannot meet its objective or, over its share, is refused to be sent again
 * later. Time for which it was held on its connection does not count.
 *
 * @param readingMs Time in milliseconds that a target takes to read the prompt.
 */
export function findWaitDeadline(request: RoutedRequest, isOverShare: boolean, readingMs: number): number {
    const { heldMs = 0, origin, objectiveDeadline, deadline, route } = request;
    const waitsFrom = request.receivedAt + heldMs;
    if (isOverShare) {
        return waitsFrom + route.objectiveMs * OVER_SHARE_WAIT_RATIO;
    }
    if (origin) {
        return waitsFrom + RESUME_WAIT_MS;
    }
    const answerBy = Math.min(deadline, objectiveDeadline + heldMs);
    return answerBy - Math.min(route.objectiveMs / 2, MIN_START_MS + readingMs);
}
