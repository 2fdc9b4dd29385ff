import type { LeaseTimings } from "./leaseTimings.js";

interface Adoption {
    /** Monotonic times in milliseconds. */
    readonly startedAt: number;
    readonly adoptedAt: number;
    /** True for the first instance list since the start. */
    readonly isFirst: boolean;
}

/**
 * Returns the monotonic time in milliseconds from which no other lender makes or renews loans of this lender's slots.
 * The previous lender may adopt the instance list up to `viewSkewMs` later and renew its loans until then. The first
 * list after a start is not delayed, which is safe as long as an instance stays on the list while it restarts.
 */
export function computeAssignmentTime(adoption: Adoption, timings: LeaseTimings): number {
    const { startedAt, adoptedAt, isFirst } = adoption;
    return Math.max(startedAt, adoptedAt + (isFirst ? 0 : timings.viewSkewMs));
}
