/** How fast the lowest normalised service of a pool rises. */
export interface LevelAdvance {
    /** Newest level in tokens per unit of share; `undefined` when nobody waited at the newest observation. */
    readonly level: number | undefined;
    /** Monotonic time of the newest observation in milliseconds. */
    readonly observedAt: number;
    /** Rise of the last seconds in tokens per unit of share; older rise counts less. */
    readonly recentRise: number;
    /** Time of that rise, weighted in the same way, in milliseconds. */
    readonly recentMs: number;
}
