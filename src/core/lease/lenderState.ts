/** What a lender knows of one pool. Times are monotonic, in milliseconds. */
export interface LenderState {
    /** Slots assigned to this lender over time, oldest first; `count` 0 stands for none. */
    readonly assignments: readonly {
        /** Position of this lender among the lenders of the pool. */
        readonly index: number;
        /** Number of lenders of the pool. */
        readonly count: number;
        readonly from: number;
    }[];
    /** The newest loan; the slots are lent to one owner at a time. */
    readonly loan: { readonly owner: string; readonly deadline: number; } | undefined;
}
