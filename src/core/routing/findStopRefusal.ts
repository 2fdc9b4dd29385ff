import type { RoutedRequest } from "./routedRequest.js";
import type { StopPlan } from "./stopPlan.js";

interface StopRefusal {
    readonly status: number;
    readonly reason: string;
    readonly retryAfterMs: number;
}

const SERVICE_UNAVAILABLE = 503;
/** The caller tries another instance, which need not wait for this one. */
const RETRY_AFTER_MS = 50;

/**
 * Returns why a request is not forwarded during a planned stop, or `undefined` if it is. What has been forwarded must not
 * be cut off at the end, so a request must end in time whatever it takes of its deadline; early in the stop, when most
 * callers have not moved yet, it is enough that it is expected to.
 *
 * @param expectedMs Time in milliseconds from now by which requests like it mostly have ended.
 */
export function findStopRefusal(
    request: Pick<RoutedRequest, "receivedAt" | "deadline">,
    expectedMs: number,
    plan: StopPlan | undefined,
    now: number,
): StopRefusal | undefined {
    if (!plan) {
        return undefined;
    }
    const { estimateUntil, finishBy } = plan;
    const isExpected = request.receivedAt <= estimateUntil && now + expectedMs <= finishBy;
    return now <= finishBy && (isExpected || request.deadline <= finishBy)
        ? undefined
        : { status: SERVICE_UNAVAILABLE, reason: "stopping", retryAfterMs: RETRY_AFTER_MS };
}
