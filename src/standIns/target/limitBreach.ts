/** One arrival over the bearable limit. Times are wall-clock milliseconds. */
export interface LimitBreach {
    readonly atMs: number;
    readonly running: number;
    readonly bearable: number;
    readonly state: "cold" | "warm";
    /** When the target last became cold. */
    readonly coldSinceMs: number;
    /** When an answer or a load report first showed that change; `undefined` before. */
    readonly noticedAtMs: number | undefined;
}
