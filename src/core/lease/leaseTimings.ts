/** Times of the lease protocol, all in milliseconds. */
export interface LeaseTimings {
    /** Longest time for which a lender lends and an owner leases. */
    readonly termMs: number;
    /** Covers a pause between the deadline check of an entry and the write to the target. */
    readonly marginMs: number;
    /** A target without a load report for this long counts as cold. */
    readonly loadSilenceMs: number;
    /** A load report counts as measured this long before it was requested, because targets report late. */
    readonly loadLagMs: number;
    /** Two lenders adopt an instance list at most this long apart. */
    readonly viewSkewMs: number;
}
