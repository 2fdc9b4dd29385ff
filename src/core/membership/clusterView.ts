import type { ConfigurationIndex } from "../configuration/configurationIndex.js";
import type { InstanceList } from "./instanceList.js";

/** Snapshot of the fleet as one daemon knows it. */
export interface ClusterView {
    /** Revision of the configuration in force; -1 before the first. */
    readonly configurationRevision: number;
    /** Digest of the configuration in force; empty before the first. */
    readonly configurationDigest: string;
    /** Lookup tables of the configuration in force; `undefined` before the first. */
    readonly index: ConfigurationIndex | undefined;
    /** Revision -1 and no instances before the first list. */
    readonly instances: InstanceList;
    /** Monotonic time in milliseconds at which the instance list was adopted. */
    readonly instancesAdoptedAt: number;
    /** Names of instances that local failure detection suspects. */
    readonly suspected: ReadonlySet<string>;
    /** Names of instances that announced that they are leaving, or are listed as leaving. */
    readonly leaving: ReadonlySet<string>;
}
