/** An entry as the lease protocol requires it to behave. Times are relative to the present. */
export interface ModelEntry {
    readonly incarnation: number;
    /** Owner in the view of the entry. */
    readonly owner: string;
    /** Sequence of the last report. */
    readonly sequence: number;
    /** Newest lease state that was applied. */
    readonly applied: { readonly owner: string; readonly sequence: number; } | undefined;
    readonly slots: number;
    readonly deadline: number;
    readonly inUse: number;
    /** Slots that the last report kept: a lease state that does not take it into account gives no more. */
    readonly kept: number;
    /** Time of a deadline check whose write has not happened yet. */
    readonly checkedAt: number | undefined;
}
