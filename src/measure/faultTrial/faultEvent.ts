/** One planned fault of a trial. A list of these can be replayed. */
export interface FaultEvent {
    readonly kind:
        | "kill"
        | "freeze"
        | "partition"
        | "slow-link"
        | "target-truncates"
        | "target-resets"
        | "target-duplicates"
        | "target-crosses"
        | "target-cold"
        | "target-falls"
        | "platform-down"
        | "platform-stale"
        | "platform-goes-back"
        | "operator-race"
        | "rolling-restart";
    /** Faults of one lane follow one another; those of two lanes overlap. */
    readonly lane: number;
    /** Milliseconds after the start of the load, or later if the fault before it in its lane has not ended. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Names of daemons, targets or regions that the fault meets; empty for the platform. */
    readonly subjects: readonly string[];
}
