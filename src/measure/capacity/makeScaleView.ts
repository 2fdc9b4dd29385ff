import { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import type { ClusterView } from "../../core/membership/clusterView.js";
import { makeScaleConfiguration } from "./makeScaleConfiguration.js";

const DATA_CENTRES = 8;

/** Makes the cluster view of a fleet with a number of live instances, spread evenly over 8 data centres. */
export function makeScaleView(instances: number): ClusterView {
    return {
        configurationRevision: 1,
        configurationDigest: "",
        index: ConfigurationIndex.create(makeScaleConfiguration(16, 4000)),
        instances: {
            revision: 1,
            instances: Array.from({ length: instances }, (_, index) => {
                const host = `10.1.${index >> 8}.${index % 256}`;
                return {
                    name: `daemon-${index}`,
                    dataCentre: `centre-${index % DATA_CENTRES}`,
                    callerAddress: `${host}:8080`,
                    peerAddress: `${host}:8081`,
                    operatorAddress: `${host}:8082`,
                    state: "live",
                } as const;
            }),
        },
        instancesAdoptedAt: 0,
        suspected: new Set(),
        leaving: new Set(),
    };
}
