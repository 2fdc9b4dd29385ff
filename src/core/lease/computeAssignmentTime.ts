import type { LeaseTimings } from "./leaseTimings.js";

interface Adoption {
    /** Monotonic times in milliseconds. */
    readonly startedAt: number;
    readonly adoptedAt: number;
    /** True for the first list since the start. */
    readonly isFirst: boolean;
}

/**
 * Returns the monotonic time in milliseconds since which no other lender lends a slot of this one: the previous lender
 * may adopt the instance list later and renew its loans until then. The first list after a start gets no such wait, which
 * is safe while the list keeps an instance that restarts.
 */
export function computeAssignmentTime(adoption: Adoption, timings: LeaseTimings): number {
    const { startedAt, adoptedAt, isFirst } = adoption;
    return Math.max(startedAt, adoptedAt + (isFirst ? 0 : timings.viewSkewMs));
}
