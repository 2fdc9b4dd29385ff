import { applyLeaseUpdate } from "../../src/core/dispatch/applyLeaseUpdate.js";
import { createPoolLeases } from "../../src/core/dispatch/createPoolLeases.js";
import type { DispatchState } from "../../src/core/dispatch/dispatchState.js";
import type { LeaseUpdate } from "../../src/core/dispatch/leaseUpdate.js";
import { makeLeaseUpdate } from "./makeLeaseUpdate.js";

/** Applies a lease state for the only target of a data centre. */
export function addLease(
    state: DispatchState,
    dataCentre: string,
    slots: number,
    options: Partial<LeaseUpdate> = {},
): DispatchState {
    const key = `desk@${dataCentre}`;
    const pool = state.pools.get(key) ?? createPoolLeases("desk", dataCentre);
    const update = makeLeaseUpdate(`engine-${dataCentre}`, slots, options);
    return { ...state, pools: new Map(state.pools).set(key, applyLeaseUpdate(pool, update, "owner")) };
}
