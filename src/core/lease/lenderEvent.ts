/** Input of the state of a lender for one pool. */
export type LenderEvent =
    | {
        readonly type: "assign";
        /** Position of this lender among the lenders of the pool. */
        readonly index: number;
        /** Number of lenders; 0 when this instance is not a lender of the pool. */
        readonly count: number;
        /** Monotonic time in milliseconds from which no other lender makes new loans of these slots. */
        readonly from: number;
    }
    | {
        readonly type: "borrow";
        /** Instance and incarnation of the owner; after a restart it counts as another owner. */
        readonly owner: string;
        /** Slot limit by target. */
        readonly limits: Readonly<Record<string, number>>;
    }
    | { readonly type: "release"; readonly owner: string; };
