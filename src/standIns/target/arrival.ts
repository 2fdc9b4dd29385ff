/** One request as a target saw it. Times are wall-clock milliseconds. */
export interface Arrival {
    readonly requestId: string;
    readonly idempotencyKey: string;
    /** Values of the markers `[account=...]` and `[request=...]` in the prompt or body; empty without one. */
    readonly account: string;
    readonly marker: string;
    readonly startMs: number;
    endMs: number | undefined;
    /** Cost in tokens that was served so far, prompt included. */
    tokens: number;
    /** `refused` was not run; `reset` and `cancelled` may have been run in part. */
    ending: "running" | "completed" | "refused" | "cancelled" | "reset";
}
