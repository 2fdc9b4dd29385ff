/** What an entry reports about its lease at one target. */
export interface ReportedHolding {
    /** Slots that the entry keeps; fewer than granted means that it returns the rest. */
    readonly held: number;
    /** Requests in flight. */
    readonly inUse: number;
    /** Responses since the start of the entry that said `cold` or had status 503. */
    readonly coldAnswers: number;
    /** Responses since the start of the entry that had status 429. */
    readonly busyAnswers: number;
}
