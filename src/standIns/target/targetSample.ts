/** State of a target at one moment, for gap and utilisation over time. */
export interface TargetSample {
    /** Wall-clock time in milliseconds, a multiple of the sampling interval. */
    readonly atMs: number;
    readonly running: number;
    readonly bearable: number;
    /** Tokens served since the start, by client account. */
    readonly tokensByAccount: Readonly<Record<string, number>>;
}
