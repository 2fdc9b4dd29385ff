/** One planned fault of a trial. A list of faults can be replayed. */
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
    /** Faults of the same lane run in sequence; lanes run concurrently. */
    readonly lane: number;
    /** Milliseconds after the start of the load; the fault is delayed while the previous one of its lane lasts. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Names of the daemons, targets or regions that the fault affects; empty for the platform. */
    readonly subjects: readonly string[];
}
