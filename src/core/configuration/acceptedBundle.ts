import type { Configuration } from "./configuration.js";
import type { ConfigurationBundle } from "./configurationBundle.js";

/** A bundle that passed every check; `configuration` is as published, without defaults. */
export interface AcceptedBundle extends ConfigurationBundle {
    /** The configuration with defaults filled in. */
    readonly effective: Configuration;
}
