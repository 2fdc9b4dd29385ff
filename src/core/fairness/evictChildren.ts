import type { CounterState } from "./counterState.js";

/** The instance list lags, so a child that reports may not be listed yet, or may be missing for a while. */
const UNLISTED_MS = 60_000;

/**
 * Evicts children that left the instance list and have been silent for a minute. Other silent children keep their
 * sequence, which protects against a repeated report.
 */
export function evictChildren(state: CounterState, listed: ReadonlySet<string>, now: number): CounterState {
    const children = [...state.children].filter(([instance, child]) =>
        listed.has(instance) || child.expiresAt > now - UNLISTED_MS
    );
    return children.length === state.children.size ? state : { ...state, children: new Map(children) };
}
