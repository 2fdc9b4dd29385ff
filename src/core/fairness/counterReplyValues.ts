/** Content of one reply to a counter report, apart from the revisions. */
export interface CounterReplyValues {
    /** Instance that replied. */
    readonly instance: string;
    readonly incarnation: string;
    /** Highest sequence of the receiving child whose increments were added; 0 when none. */
    readonly acknowledgedSequence: number;
    readonly totals: ReadonlyMap<number, number>;
    readonly unsettled: ReadonlyMap<number, number>;
    readonly bases: ReadonlyMap<number, number>;
    readonly lowest: number | undefined;
    readonly highest: number | undefined;
}
