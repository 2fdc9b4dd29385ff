import type { TargetState } from "./targetState.js";

/** Targets that have the shared parts of a prompt cached. */
export interface CachedPrompt {
    /** Last shared part, if the shared prefix is long enough to report its location to peers. */
    readonly reportedPartId?: string | undefined;
    /** Affinity target in the local region, or in a remote one if the local region has no usable target. */
    readonly affinityTarget?: TargetState | undefined;
    /** Affinity target in a remote region; absent if `affinityTarget` is remote. */
    readonly remoteAffinityTarget?: TargetState | undefined;
    /** Targets known to have read the parts recently. */
    readonly cachingTargets: readonly TargetState[];
}
