/** Weights of the spill to other data centres. */
export interface SpillSettings {
    /** Milliseconds of a caller's wait that a megabyte (10^6 bytes) on a link within a region is worth. */
    readonly sameRegionWaitMsPerMb: number;
    /** The same for a link between regions. */
    readonly otherRegionWaitMsPerMb: number;
    /** Smallest gain in milliseconds of a caller's wait for which a request leaves its data centre. */
    readonly minGainMs: number;
    /** Whether it applies only to services whose targets report how long work takes, as the wait at others is estimated coarsely. */
    readonly needsReportedSpeeds: boolean;
}
