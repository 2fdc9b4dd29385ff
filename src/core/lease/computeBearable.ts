import type { LeaseTimings } from "./leaseTimings.js";
import type { LoadState } from "./loadState.js";

/** Returns the most requests that a target may get now; `coldLimit` when its last report is too old. */
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
