/** Durations of the lease protocol, in milliseconds. */
export interface LeaseTimings {
    /** Longest term of a loan and of a lease. */
    readonly termMs: number;
    /** Covers a pause between the deadline check of an entry and the write to the target. */
    readonly marginMs: number;
    /** A target without a load report for this long counts as cold. */
    readonly loadReportTimeoutMs: number;
    /** A load report counts as measured this long before its request, because targets may report an old measurement. */
    readonly loadReportAgeMs: number;
    /** Longest time between the adoption of an instance list by two lenders. */
    readonly viewSkewMs: number;
}
