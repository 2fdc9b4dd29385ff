/** Load that another instance, or a whole remote data centre, has put on a target. */
export interface PeerLoad {
    readonly inFlight: number;
    /** Prompt tokens of its requests that have no first event yet. */
    readonly pendingTokens: number;
    /** Monotonic time in milliseconds until which the report counts. */
    readonly validUntil: number;
}
