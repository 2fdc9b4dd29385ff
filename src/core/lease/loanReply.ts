/** Reply of a lender to an owner that borrows or releases slots. */
export interface LoanReply {
    readonly reason: "granted" | "starting" | "lent-to-other" | "not-lender" | "list-changed" | "released";
    /** Slots by target, empty unless granted. */
    readonly slots: Readonly<Record<string, number>>;
    /** Monotonic time in milliseconds at which the loan ends. */
    readonly deadline: number;
}
