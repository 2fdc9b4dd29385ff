import type { CounterState } from "./counterState.js";

/**
 * Drops batches for parents that left the instance list. Whether those parents forwarded them is unknown, so they
 * are not counted again.
 */
export function dropBatches(state: CounterState, listed: ReadonlySet<string>): CounterState {
    if (state.batches.every(batch => listed.has(batch.parent))) {
        return state;
    }
    return { ...state, batches: state.batches.filter(batch => listed.has(batch.parent)) };
}
