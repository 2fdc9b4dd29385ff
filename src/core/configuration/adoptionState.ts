import type { AcceptedBundle } from "./acceptedBundle.js";
import type { ConfigurationDelta } from "./configurationDelta.js";
import type { ConfigurationRejection } from "./configurationRejection.js";
import type { ConfigurationVersion } from "./configurationVersion.js";

interface AdoptedDelta {
    /** Version that the changes were applied to. */
    readonly base: ConfigurationVersion;
    readonly changes: ConfigurationDelta;
}

/** What one daemon holds of the configuration. */
export interface AdoptionState {
    /** `asking` from the start until the peers have been asked; nothing is in force in that phase. */
    readonly phase: "asking" | "serving";
    readonly inForce: AcceptedBundle | undefined;
    /** Highest valid bundle offered in the phase `asking`. */
    readonly held: AcceptedBundle | undefined;
    /** Changes of the last adoptions, oldest first; the newest leads to the bundle in force. */
    readonly deltas: readonly AdoptedDelta[];
    readonly lastRejection: ConfigurationRejection | undefined;
}
