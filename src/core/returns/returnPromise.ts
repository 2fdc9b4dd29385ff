/** Capacity that the caller of a refused request has been told of. Times are monotonic milliseconds. */
export interface ReturnPromise {
    readonly account: string;
    readonly route: string;
    readonly deadline: number;
    /** Time at which the request is to come again. */
    readonly dueAt: number;
    /** Time at which the promise lapses unless a request has claimed it. */
    readonly until: number;
}
