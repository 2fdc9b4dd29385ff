import type { CounterState } from "./counterState.js";

/**
 * Returns the number of requests that wait in this subtree, by account; zero for accounts whose totals alone are
 * requested.
 *
 * @param except Reporting instance to leave out, so that two instances that regard each other as the parent do not
 * report each other's backlog back.
 */
export function sumWaiting(state: CounterState, now: number, except?: string): ReadonlyMap<number, number> {
    const result = new Map(state.waiting);
    for (const [instance, child] of state.children) {
        if (instance === except || child.expiresAt <= now) {
            continue;
        }
        for (const [account, waiting] of child.waiting) {
            result.set(account, (result.get(account) ?? 0) + waiting);
        }
    }
    return result;
}
