import type { ClusterView } from "../membership/clusterView.js";

/** Lists what a daemon lacks to be ready; empty if it is ready. */
export function listMissing(view: ClusterView, isLeaving: boolean): readonly string[] {
    return [
        ...(view.index ? [] : ["no-configuration"]),
        ...(view.instances.revision >= 0 ? [] : ["no-instance-list"]),
        ...(isLeaving ? ["leaving"] : []),
    ];
}
