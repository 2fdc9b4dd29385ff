import type { LeaseTimings } from "./leaseTimings.js";

/** Lease timings of the design, see docs/design.md, sections 3.2 and 3.3. */
export const defaultLeaseTimings: LeaseTimings = {
    termMs: 2000,
    marginMs: 250,
    loadReportTimeoutMs: 2000,
    loadReportAgeMs: 250,
    // The longest counter exchange interval; peers are also asked for a newer instance list every second.
    viewSkewMs: 2000,
};
