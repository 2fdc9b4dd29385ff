/** Parts of the score of a target for a request, in milliseconds or their equivalent; the lowest sum wins. */
export interface ScoreTerms {
    /** Expected time to the first event at the target, scaled by its speed. */
    readonly expectedMs: number;
    /** Network round trip to the target. */
    readonly networkMs: number;
    /** Penalty for recent failures of the target. */
    readonly failureMs: number;
    /** Penalty for shared prompt tokens that have to be moved or read again. */
    readonly cacheMs: number;
    /** What serving the request in another data centre costs others: bytes on the links and displaced callers. 0 without spill. */
    readonly spillMs: number;
}
