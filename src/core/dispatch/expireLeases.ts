import type { DispatchState } from "./dispatchState.js";
import type { PoolLeases } from "./poolLeases.js";

/** Removes leases whose deadline has passed; requests in flight keep their slots until they end. */
export function expireLeases(state: DispatchState, now: number): DispatchState {
    let pools: Map<string, PoolLeases> | undefined;
    for (const [key, pool] of state.pools) {
        const leases = [...pool.leases].filter(([, lease]) => lease.deadline > now);
        if (leases.length < pool.leases.size) {
            pools ??= new Map(state.pools);
            pools.set(key, { ...pool, leases: new Map(leases) });
        }
    }
    return pools ? { ...state, pools } : state;
}
