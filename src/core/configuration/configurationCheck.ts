import type { Configuration } from "./configuration.js";

/** Result of validating a whole configuration. */
export interface ConfigurationCheck {
    /** The configuration with defaults filled in; `undefined` if there is any fault. */
    readonly configuration: Configuration | undefined;
    /** One line per fault: path, colon, what is wrong. */
    readonly faults: readonly string[];
}
