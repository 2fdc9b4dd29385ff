/** Slots that a lender lends to this owner. Times are monotonic, in milliseconds. */
export interface SlotLoan {
    /** By target. */
    readonly slots: Readonly<Record<string, number>>;
    /** By target: time since which the lender has lent at least this many. */
    readonly since: Readonly<Record<string, number>>;
    readonly deadline: number;
}
