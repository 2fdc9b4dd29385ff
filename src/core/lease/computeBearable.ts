import type { LeaseTimings } from "./leaseTimings.js";
import type { LoadState } from "./loadState.js";

/**
 * Returns the load limit of a target: the most requests that it may have in flight. Without a load report of the last
 * `loadSilenceMs` it is at most `coldLimit`.
 */
export function computeBearable(
    state: LoadState | undefined,
    coldLimit: number,
    now: number,
    timings: LeaseTimings,
): number {
    if (!state) {
        return coldLimit;
    }
    const silent = now - state.requestedAt > timings.loadSilenceMs;
    return silent ? Math.min(state.bearable, coldLimit) : state.bearable;
}
