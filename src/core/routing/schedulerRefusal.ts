/** Refusal of a request, and what decided it. */
export interface SchedulerRefusal {
    readonly reason:
        | "no-target"
        | "version-gone"
        | "overloaded"
        | "crashing-prompt"
        | "crashing-request"
        | "targets-paused";
    /** Time in milliseconds after which the request can expect to be served. */
    readonly retryAfterMs: number;
    /** Whether capacity is promised for that time. */
    readonly isPromised?: boolean;
    /** Tokens recently granted to the client account, as a multiple of its fair share; `undefined` if it was not read. */
    readonly shareRatio?: number | undefined;
}
