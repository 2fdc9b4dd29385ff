/** What the owner knows of one entry's lease at one target. */
export interface SlotHolding {
    /** Slots that the newest lease state grants to the entry. */
    readonly granted: number;
    /** Slots that the entry may still use: `granted`, or more until it has applied a reduction. */
    readonly reserved: number;
    /** Sequence of the lease state that last changed `granted`. */
    readonly changeSequence: number;
    /** Monotonic time in milliseconds until which the entry may start requests. */
    readonly deadline: number;
    /** Requests in flight by the newest report. */
    readonly inUse: number;
    /** Lowest `inUse` since the last load report of the target. */
    readonly minInUse: number;
    /** Most requests that can have been in flight since that load report: the highest `inUse` or `reserved`. */
    readonly maxInUse: number;
    /** Counters of responses since the start of the entry, see `TargetHolding` in proto/peer.proto. */
    readonly coldAnswers: number;
    readonly busyAnswers: number;
}
