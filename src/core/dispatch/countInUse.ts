import type { DispatchState } from "./dispatchState.js";

/** Returns the number of requests in flight by target name. */
export function countInUse(state: DispatchState): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const request of state.requestsInFlight.values()) {
        counts.set(request.target, (counts.get(request.target) ?? 0) + 1);
    }
    return counts;
}
