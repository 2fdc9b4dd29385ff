import type { CounterState } from "./counterState.js";

/**
 * Returns the requests that wait in this subtree, by account, with zero for accounts that are only of interest.
 *
 * @param except Reporting daemon to leave out, so that two daemons that take each other for the parent do not
 * echo each other's backlog.
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
