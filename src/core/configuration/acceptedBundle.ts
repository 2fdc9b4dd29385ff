import type { Configuration } from "./configuration.js";
import type { ConfigurationBundle } from "./configurationBundle.js";

/** A bundle that passed every check; `configuration` is the set as published. */
export interface AcceptedBundle extends ConfigurationBundle {
    /** The set with defaults filled in. */
    readonly effective: Configuration;
}
