/** Request that arrived when the target was already at its limit. Times are wall-clock milliseconds. */
export interface LimitBreach {
    readonly atMs: number;
    readonly running: number;
    readonly bearable: number;
    readonly state: "cold" | "warm";
    /** When the target last became cold. */
    readonly coldSinceMs: number;
    /** When a response or a load report first showed that change; `undefined` before that. */
    readonly noticedAtMs: number | undefined;
}
