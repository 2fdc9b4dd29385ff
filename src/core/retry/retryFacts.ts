/** What the decision about a further try depends on, besides the ending. */
export interface RetryFacts {
    /** False for a call that may run at most once. */
    readonly isRepeatable: boolean;
    /** Tries so far, the ended one included. */
    readonly attempts: number;
    /** True if an earlier try was written to a target that did not refuse it. */
    readonly wasWritten: boolean;
    /** True once the caller has received a part of the answer. */
    readonly isAnswerStarted: boolean;
    /** True for a token stream, which can continue at its next token. */
    readonly isResumable: boolean;
    /** Monotonic times in milliseconds. */
    readonly now: number;
    readonly deadline: number;
}
