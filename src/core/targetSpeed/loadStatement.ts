/** What a target says of its own load in one response. */
export interface LoadStatement {
    readonly runningRequests: number;
    readonly waitingRequests: number;
    readonly slots: number;
    /**
     * How long work takes at the target at the moment, relative to what is usual there: 2 if twice as long. `undefined` if the
     * response does not tell.
     */
    readonly workTimeRatio: number | undefined;
}
