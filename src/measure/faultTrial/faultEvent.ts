/** One planned fault of a trial. A list of these can be replayed. */
export interface FaultEvent {
    readonly kind:
        | "kill"
        | "freeze"
        | "partition"
        | "slow-link"
        | "target-truncates"
        | "target-resets"
        | "target-cold"
        | "target-falls"
        | "platform-down"
        | "platform-stale"
        | "platform-goes-back"
        | "operator-race"
        | "rolling-restart";
    /** Milliseconds after the start of the load. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Names of daemons, targets or regions that the fault meets; empty for the platform. */
    readonly subjects: readonly string[];
}
