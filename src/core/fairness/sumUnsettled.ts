import type { CounterState } from "./counterState.js";

/** Returns the tokens of an account that are not in the root's total yet, as far as this node knows. */
export function sumUnsettled(state: CounterState, account: number): number {
    let tokens = (state.unsettled.get(account) ?? 0) + (state.pending.get(account) ?? 0);
    for (const batch of state.batches) {
        tokens += batch.increments.get(account) ?? 0;
    }
    return tokens;
}
