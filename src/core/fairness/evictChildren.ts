import type { CounterState } from "./counterState.js";

/**
 * Memory of unlisted children: the instance list may be outdated, so a reporting child may be missing for a while.
 */
const UNLISTED_MS = 60_000;

/**
 * Evicts children that are not in the instance list and have been inactive for a minute. Other inactive children keep
 * their sequence, which protects against a repeated report.
 */
export function evictChildren(state: CounterState, listed: ReadonlySet<string>, now: number): CounterState {
    const children = [...state.children].filter(([instance, child]) =>
        listed.has(instance) || child.expiresAt > now - UNLISTED_MS
    );
    return children.length === state.children.size ? state : { ...state, children: new Map(children) };
}
