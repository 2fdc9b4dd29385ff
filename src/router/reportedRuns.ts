/** Requests that a target runs, as it reports them. */
export interface ReportedRuns {
    /** Start of the target's process, in Unix milliseconds. */
    readonly startedAtMs: number;
    /** Identifiers of the callers' attempts. */
    readonly requestIds: readonly string[];
}
