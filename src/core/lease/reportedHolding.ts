/** What an entry says of its lease at one target. */
export interface ReportedHolding {
    /** Slots that the entry keeps. */
    readonly held: number;
    /** Requests in flight. */
    readonly inUse: number;
    /** Answers since the start of the entry that said `cold` or were a 503. */
    readonly coldAnswers: number;
    /** Answers since the start of the entry that were a 429. */
    readonly busyAnswers: number;
}
