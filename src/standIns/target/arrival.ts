/** One request as a target saw it. Times are wall-clock milliseconds. */
export interface Arrival {
    readonly requestId: string;
    readonly idempotencyKey: string;
    /** Values of the markers `[account=...]` and `[request=...]` in the prompt or body; empty without one. */
    readonly account: string;
    readonly marker: string;
    readonly startMs: number;
    endMs: number | undefined;
    /** Cost served so far in tokens, including the prompt. */
    tokens: number;
    /** A `refused` request was not run; a `reset` or `cancelled` one may have run in part. */
    ending: "running" | "completed" | "refused" | "cancelled" | "reset";
}
