/** Context of a retry decision besides the ending of the last attempt. */
export interface RetryContext {
    /** False for a call that may run at most once. */
    readonly isRepeatable: boolean;
    /** Attempts so far, the ended one included. */
    readonly attempts: number;
    /** True if an earlier attempt was written to a target that did not refuse it. */
    readonly wasWritten: boolean;
    /** True once a part of the response has been sent to the caller. */
    readonly isResponseStarted: boolean;
    /** True for a token stream that can continue at its next token. */
    readonly isResumable: boolean;
    /** Monotonic times in milliseconds. */
    readonly now: number;
    readonly deadline: number;
}
