/** Level, the lowest normalised service of the waiting accounts, and how fast it rises. */
export interface LevelTrend {
    /** Latest level in tokens per unit of share; `undefined` if no account waited at the latest observation. */
    readonly level: number | undefined;
    /** Monotonic time of the latest observation in milliseconds. */
    readonly observedAt: number;
    /** Rise of the level in tokens per unit of share, decayed exponentially. */
    readonly recentRise: number;
    /** Duration of that rise, decayed in the same way, in milliseconds. */
    readonly recentMs: number;
}
