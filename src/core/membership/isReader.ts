import type { ClusterView } from "./clusterView.js";
import { rankReaders } from "./rankReaders.js";
import { readersPerDataCentre } from "./readersPerDataCentre.js";

/** True if the instance watches the platform. Every instance does so while it has no instance list. */
export function isReader(view: ClusterView, instance: string, dataCentre: string): boolean {
    if (view.instances.revision < 0) {
        return true;
    }
    return rankReaders(view, dataCentre)
        .slice(0, readersPerDataCentre)
        .some(reader => reader.name === instance);
}
