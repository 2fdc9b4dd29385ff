/** An attempt to bind a port that failed. */
export interface FailedBind {
    /** Code of the operating system's error, such as `EADDRINUSE`. */
    readonly code: string | undefined;
    /** Failed attempts in a row, with this one. */
    readonly failures: number;
    /** Monotonic time in milliseconds. */
    readonly now: number;
}
