/** What happens to a lender. */
export type LenderEvent =
    | {
        readonly type: "assign";
        readonly index: number;
        /** Number of lenders; 0 when this daemon is not a lender of the pool. */
        readonly count: number;
        /** Monotonic time in milliseconds since which no other lender lends these slots anew. */
        readonly from: number;
    }
    | {
        readonly type: "borrow";
        /** Incarnation of the owner; a restarted owner is another owner. */
        readonly owner: string;
        /** Slot limit by target. */
        readonly limits: Readonly<Record<string, number>>;
    }
    | { readonly type: "release"; readonly owner: string; };
