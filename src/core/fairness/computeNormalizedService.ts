import type { CounterState } from "./counterState.js";
import { sumUnsettled } from "./sumUnsettled.js";

/** Returns the normalised service of an account in tokens per unit of share, without the lag limit. */
export function computeNormalizedService(state: CounterState, account: number, share: number): number {
    const tokens = (state.totals.get(account) ?? 0) + sumUnsettled(state, account);
    const service = (state.bases.get(account) ?? 0) + tokens / share;
    const floor = state.floors.get(account);
    if (floor === undefined) {
        return service;
    }
    return Math.max(service, floor.level + ((state.served.get(account) ?? 0) - floor.served) / share);
}
