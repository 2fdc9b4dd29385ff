import type { LeaseUpdate } from "../../src/core/dispatch/leaseUpdate.js";

/** Creates a lease state of instance `owner` with one target and a deadline of 2000 ms. */
export function makeLeaseUpdate(
    target: string,
    slots: number,
    options: Partial<LeaseUpdate> = {},
): LeaseUpdate {
    return {
        owner: "owner",
        ownerIncarnation: "1",
        sequence: 1,
        reportSequence: 0,
        leases: new Map([[target, { slots, fencingNumber: 9, deadline: 2000 }]]),
        horizon: undefined,
        freeSlots: 0,
        recovering: false,
        ...options,
    };
}
