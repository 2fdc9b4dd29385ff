import type { AcceptedBundle } from "./acceptedBundle.js";
import type { ConfigurationDelta } from "./configurationDelta.js";
import type { ConfigurationRejection } from "./configurationRejection.js";
import type { ConfigurationVersion } from "./configurationVersion.js";

interface AdoptedDelta {
    /** Version that the changes were applied to. */
    readonly base: ConfigurationVersion;
    readonly changes: ConfigurationDelta;
}

/** Configuration in force in one daemon, with the history that deltas are built from. */
export interface AdoptionState {
    /** `asking` from the start until `peers-asked`; no configuration is in force in that phase. */
    readonly phase: "asking" | "serving";
    readonly inForce: AcceptedBundle | undefined;
    /** Highest valid bundle offered in the phase `asking`. */
    readonly candidate: AcceptedBundle | undefined;
    /** Changes of the last adoptions, oldest first; the newest results in the bundle in force. */
    readonly deltas: readonly AdoptedDelta[];
    readonly lastRejection: ConfigurationRejection | undefined;
}
