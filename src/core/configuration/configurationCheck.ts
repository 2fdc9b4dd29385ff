import type { Configuration } from "./configuration.js";

/** Result of a check of the whole set. */
export interface ConfigurationCheck {
    /** The set with defaults filled in; `undefined` if there is any fault. */
    readonly configuration: Configuration | undefined;
    /** One line a fault: path, colon, what is wrong. */
    readonly faults: readonly string[];
}
