import { countInUse } from "../dispatch/countInUse.js";
import type { DispatchState } from "../dispatch/dispatchState.js";

interface LeaseStatus {
    readonly target: string;
    readonly owner: string;
    readonly slots: number;
    readonly inUse: number;
    /** Time in milliseconds in which requests may still start; negative after the deadline. */
    readonly remainingMs: number;
}

/** Lists the slot leases that this daemon holds as an entry, for operators. */
export function listLeaseStatus(state: DispatchState, now: number): readonly LeaseStatus[] {
    const inUse = countInUse(state);
    return [...state.pools.values()].flatMap(pool =>
        [...pool.leases].map(([target, lease]) => ({
            target,
            owner: pool.owner,
            slots: lease.slots,
            inUse: inUse.get(target) ?? 0,
            remainingMs: Math.round(lease.deadline - now),
        }))
    );
}
