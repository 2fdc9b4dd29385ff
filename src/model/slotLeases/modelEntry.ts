/** State of an entry that follows the lease protocol. Times are in ticks relative to the present. */
export interface ModelEntry {
    readonly incarnation: number;
    /** Owner that the entry reports to. */
    readonly owner: string;
    /** Sequence of the last report. */
    readonly sequence: number;
    /** Newest lease state that was applied. */
    readonly applied: { readonly owner: string; readonly sequence: number; } | undefined;
    readonly slots: number;
    readonly deadline: number;
    readonly inUse: number;
    /** Slots kept by the last report; a lease state that does not take that report into account grants no more. */
    readonly kept: number;
    /** Time of the deadline check of a request that has yet to be written to the target. */
    readonly checkedAt: number | undefined;
}
