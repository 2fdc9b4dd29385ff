import type { CounterState } from "./counterState.js";

/**
 * Evicts children that left the instance list. Silent children that are still listed keep their sequence, which
 * protects against a repeated report.
 */
export function evictChildren(state: CounterState, listed: ReadonlySet<string>): CounterState {
    const children = [...state.children].filter(([instance]) => listed.has(instance));
    return children.length === state.children.size ? state : { ...state, children: new Map(children) };
}
