import type { DispatchState } from "./dispatchState.js";

/** Returns the dispatch state of an entry that has just started. */
export function createDispatchState(): DispatchState {
    return {
        queues: new Map(),
        flights: new Map(),
        pools: new Map(),
        answers: new Map(),
        lastGrants: new Map(),
        costs: new Map(),
    };
}
