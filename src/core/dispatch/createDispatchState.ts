import type { DispatchState } from "./dispatchState.js";

/** Returns the dispatch state of an entry that has just started. */
export function createDispatchState(): DispatchState {
    return {
        queues: new Map(),
        requestsInFlight: new Map(),
        pools: new Map(),
        responseCounts: new Map(),
        lastGrants: new Map(),
        costs: new Map(),
    };
}
