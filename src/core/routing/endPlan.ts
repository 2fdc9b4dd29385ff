/** Times of the end of a process, monotonic in milliseconds. */
export interface EndPlan {
    /** Requests on accepted connections are answered by then. */
    readonly answerBy: number;
    /** Connections are closed by then, also those whose callers still send. */
    readonly closeBy: number;
}
