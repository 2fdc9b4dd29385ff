import type { AcceptedBundle } from "./acceptedBundle.js";
import type { ConfigurationVersion } from "./configurationVersion.js";

/** Result of checking a bundle from the platform or a peer. */
export interface BundleCheck {
    /** Version that the bundle claims; revision 0 and an empty digest if it cannot be read. */
    readonly version: ConfigurationVersion;
    /** `undefined` if there is any fault. */
    readonly bundle: AcceptedBundle | undefined;
    /** One line per fault: path, colon, what is wrong. */
    readonly faults: readonly string[];
}
