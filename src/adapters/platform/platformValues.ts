import type { ConfigurationBundle } from "../../core/configuration/configurationBundle.js";
import type { InstanceList } from "../../core/membership/instanceList.js";

/** What the platform publishes, by the name in its URL. */
export interface PlatformValues {
    readonly configuration: ConfigurationBundle;
    readonly instances: InstanceList;
}
