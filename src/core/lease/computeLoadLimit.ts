import type { LeaseTimings } from "./leaseTimings.js";
import type { LoadState } from "./loadState.js";

/**
 * Returns the load limit of a target: the most requests that it may have in flight. Without a recent load report it is
 * at most `coldLimit`.
 */
export function computeLoadLimit(
    state: LoadState | undefined,
    coldLimit: number,
    now: number,
    timings: LeaseTimings,
): number {
    if (!state) {
        return coldLimit;
    }
    const isStale = now - state.requestedAt > timings.loadReportTimeoutMs;
    return isStale ? Math.min(state.limit, coldLimit) : state.limit;
}
