import type { LeaseTimings } from "./leaseTimings.js";

/**
 * Returns the monotonic time in milliseconds since which no other lender lends a slot of this one: the previous lender
 * may adopt the instance list later and renew its loans until then. A restart alone needs no such wait, because the
 * loans before it were this lender's own.
 */
export function computeAssignmentTime(
    startedAt: number,
    instancesAdoptedAt: number,
    timings: LeaseTimings,
): number {
    return Math.max(startedAt, instancesAdoptedAt + timings.viewSkewMs);
}
