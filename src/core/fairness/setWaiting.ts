import { computeService } from "./computeService.js";
import type { CounterState } from "./counterState.js";

/**
 * Sets how many requests of an account wait at this instance. A newly backlogged account starts at the latest level
 * that this instance knows, until the root has lifted it.
 */
export function setWaiting(
    state: CounterState,
    account: number,
    waiting: number,
    share: number,
): CounterState {
    const counts = new Map(state.waiting);
    const floors = new Map(state.floors);
    if (waiting === 0) {
        counts.delete(account);
        floors.delete(account);
        return { ...state, waiting: counts, floors };
    }
    const level = state.lowest ?? state.level;
    if (!counts.has(account) && computeService(state, account, share) < level) {
        floors.set(account, { level, served: state.served.get(account) ?? 0 });
    }
    counts.set(account, waiting);
    return { ...state, waiting: counts, floors };
}
