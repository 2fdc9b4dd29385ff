import type { CounterState } from "./counterState.js";

/** Returns the counters of an instance that has just started. */
export function createCounterState(): CounterState {
    return {
        totals: new Map(),
        unsettled: new Map(),
        bases: new Map(),
        pending: new Map(),
        batches: [],
        served: new Map(),
        floors: new Map(),
        waiting: new Map(),
        children: new Map(),
        sequence: 0,
        parentIncarnations: new Map(),
        parent: undefined,
        lastBacklogged: new Set(),
        level: 0,
        lowest: undefined,
        highest: undefined,
        collectUntil: undefined,
    };
}
