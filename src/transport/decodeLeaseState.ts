import type { LeaseUpdate } from "../core/dispatch/leaseUpdate.js";
import type { LeaseState__Output } from "./generated/baobabspread/peer/LeaseState.js";

/**
 * Decodes a lease state: resolves target names and deadlines, and leaves out targets whose name is unknown.
 *
 * @param reportedAt Monotonic time in milliseconds at which this instance sent the report that the message names in
 * `reportSequence`. Deadlines count from that time plus `reportAgeMs`, so no delay of the message extends a lease.
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
        // Zero means absent on the wire; an infinite horizon means that no account is waiting.
        horizon: message.horizon > 0 && Number.isFinite(message.horizon) ? message.horizon : undefined,
        freeSlots: message.freeSlots,
        recovering: message.recovering,
    };
}
