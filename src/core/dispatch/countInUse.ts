import type { DispatchState } from "./dispatchState.js";

/** Returns the number of requests in flight by target name. */
export function countInUse(state: DispatchState): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const flight of state.flights.values()) {
        counts.set(flight.target, (counts.get(flight.target) ?? 0) + 1);
    }
    return counts;
}
