import type { LeaseGrantState } from "../core/lease/leaseGrantState.js";
import type { LeaseState } from "../transport/generated/baobabspread/peer/LeaseState.js";
import type { PoolId__Output } from "../transport/generated/baobabspread/peer/PoolId.js";
import type { Identity } from "./identity.js";

/** Encodes a lease state; deadlines become the time remaining at `now`, in whole milliseconds rounded down. */
export function encodeLeaseState(
    pool: PoolId__Output,
    owner: Identity,
    state: LeaseGrantState,
    now: number,
): LeaseState {
    return {
        pool,
        owner: owner.instance,
        ownerIncarnation: owner.incarnation,
        sequence: state.sequence,
        reportSequence: state.reportSequence,
        leases: state.leases.map(({ target, slots, deadline }) => ({
            target: Number(target),
            slots,
            fencingNumber: state.fencingNumber,
            remainingMs: Math.max(0, Math.floor(deadline - now)),
        })),
        horizon: state.horizon,
        recovering: state.recovering,
        freeSlots: state.freeSlots,
        reportAgeMs: Math.max(0, Math.floor(now - state.reportedAt)),
    };
}
