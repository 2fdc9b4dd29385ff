import { addCounters } from "./addCounters.js";
import type { CounterState } from "./counterState.js";

interface RootRole {
    /** True if the instance list names this daemon as root; false for a daemon that merely reaches no parent. */
    readonly isListedRoot: boolean;
    /** How long a new root takes totals from its children before it adds increments, in milliseconds. */
    readonly collectMs: number;
}

/**
 * Makes a node without parent act as root. Only the listed root adds increments to the totals. A daemon that is
 * cut off keeps them pending, so that the root adds them once when the two are connected again.
 */
export function applyRootRole(state: CounterState, role: RootRole, now: number): CounterState {
    const detached = { ...state, parent: undefined };
    if (!role.isListedRoot) {
        return { ...detached, collectUntil: undefined };
    }
    const collectUntil = state.collectUntil ?? now + role.collectMs;
    if (now < collectUntil) {
        return { ...detached, collectUntil };
    }
    return {
        ...detached,
        known: addCounters(state.known, state.pending),
        pending: new Map(),
        unsettled: new Map(),
        collectUntil,
    };
}
