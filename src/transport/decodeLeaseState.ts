import type { LeaseUpdate } from "../core/dispatch/leaseUpdate.js";
import type { LeaseState__Output } from "./generated/baobabspread/peer/LeaseState.js";

/**
 * Returns a lease state with names and deadlines resolved; targets without a known name are left out.
 *
 * @param reportedAt Monotonic time in milliseconds at which the report was sent that the message takes into account.
 * Deadlines count from that time, so that no delay of the message can extend a lease.
 */
export function decodeLeaseState(
    message: LeaseState__Output,
    targetNames: ReadonlyMap<number, string>,
    reportedAt: number,
): LeaseUpdate {
    const sentAt = reportedAt + message.reportAgeMs;
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
                : [[name, { slots, fencingNumber, deadline: sentAt + lease.remainingMs }] as const];
        })),
        // Zero is the absent value on the wire; an infinite horizon says that no account waits.
        horizon: message.horizon > 0 && Number.isFinite(message.horizon) ? message.horizon : undefined,
        freeSlots: message.freeSlots,
        recovering: message.recovering,
    };
}
