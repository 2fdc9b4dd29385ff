import type { LeaseUpdate } from "../core/dispatch/leaseUpdate.js";
import type { LeaseState__Output } from "./generated/baobabspread/peer/LeaseState.js";

/**
 * Returns a lease state with names and deadlines resolved; targets without a known name are left out.
 *
 * @param countedFrom Monotonic time in milliseconds from which remaining times count.
 */
export function decodeLeaseState(
    message: LeaseState__Output,
    targetNames: ReadonlyMap<number, string>,
    countedFrom: number,
): LeaseUpdate {
    return {
        owner: message.owner,
        ownerIncarnation: message.ownerIncarnation,
        sequence: message.sequence,
        reportSequence: message.reportSequence,
        leases: new Map(message.leases.flatMap(lease => {
            const name = targetNames.get(lease.target);
            const { slots, fencingNumber } = lease;
            return name === undefined
                ? []
                : [[name, { slots, fencingNumber, deadline: countedFrom + lease.remainingMs }] as const];
        })),
        // Every real horizon is above zero; zero is the absent value on the wire.
        horizon: message.horizon > 0 ? message.horizon : undefined,
        freeSlots: message.freeSlots,
        recovering: message.recovering,
    };
}
