import { addCounters } from "./addCounters.js";
import type { CounterState } from "./counterState.js";

/** Adds tokens that this instance served, by account. */
export function chargeAccounts(state: CounterState, tokens: ReadonlyMap<number, number>): CounterState {
    return {
        ...state,
        pending: addCounters(state.pending, tokens),
        served: addCounters(state.served, tokens),
    };
}
