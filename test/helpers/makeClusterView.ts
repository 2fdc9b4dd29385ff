import type { ClusterView } from "../../src/core/membership/clusterView.js";
import type { Instance } from "../../src/core/membership/instance.js";
import { makeConfigurationIndex } from "./makeConfigurationIndex.js";

/** Builds a view of instances given as `name@dataCentre`. */
export function makeClusterView(
    instances: readonly string[],
    changes: Partial<ClusterView> = {},
): ClusterView {
    return {
        configurationRevision: 1,
        configurationDigest: "",
        index: makeConfigurationIndex(),
        instances: { revision: 1, instances: instances.map(makeInstance) },
        instancesAdoptedAt: 0,
        suspected: new Set(),
        leaving: new Set(),
        ...changes,
    };
}

function makeInstance(text: string): Instance {
    const [name = "", dataCentre = "caerdydd-a"] = text.split("@");
    return {
        name,
        dataCentre,
        callerAddress: `${name}:1`,
        peerAddress: `${name}:2`,
        operatorAddress: `${name}:3`,
        state: "live",
    };
}
