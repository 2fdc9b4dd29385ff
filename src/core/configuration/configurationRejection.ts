import type { ConfigurationVersion } from "./configurationVersion.js";

/** A bundle that was rejected as a whole. */
export interface ConfigurationRejection extends ConfigurationVersion {
    /** `platform`, or the name of the instance that forwarded the bundle. */
    readonly source: string;
    readonly faults: readonly string[];
}
