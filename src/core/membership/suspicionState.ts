interface PeerFailures {
    /** Calls that failed since the last success. */
    readonly failures: number;
    /** Monotonic time in milliseconds of the first of these failures. */
    readonly firstFailureAt: number;
    /** Monotonic time in milliseconds at which the instance is to be called again. */
    readonly nextProbeAt: number;
    readonly suspected: boolean;
}

/** Instances whose last call failed, by name. */
export type SuspicionState = Readonly<Record<string, PeerFailures>>;
