import { addCounters } from "./addCounters.js";
import type { CounterState } from "./counterState.js";

interface RootRole {
    /** True if this instance is the root by the instance list; false if it only cannot reach a parent. */
    readonly isListedRoot: boolean;
    /** How long a new root collects totals from its children before it adds increments, in milliseconds. */
    readonly collectMs: number;
}

/**
 * Makes a node without a parent act as root. Only the listed root adds increments to the totals. A partitioned node
 * keeps them pending, so that the root adds them once after the partition heals.
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
        totals: addCounters(state.totals, state.pending),
        pending: new Map(),
        unsettled: new Map(),
        collectUntil,
    };
}
