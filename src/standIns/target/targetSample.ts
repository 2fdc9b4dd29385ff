/** State of a target at one moment, for the service gap and the utilisation over time. */
export interface TargetSample {
    /** Wall-clock time in milliseconds, a multiple of the sampling interval. */
    readonly atMs: number;
    readonly running: number;
    readonly bearable: number;
    /** Tokens served since the start, by client account. */
    readonly tokensByAccount: Readonly<Record<string, number>>;
}
