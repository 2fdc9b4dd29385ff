import type { ClusterView } from "../membership/clusterView.js";
import { listPoolInstances } from "./listPoolInstances.js";

/**
 * Returns the names of the instances that may own a pool and are not suspected, the owner first. Leaving instances are
 * listed only if no other is left: they serve until they exit, and the lenders are the same instances.
 */
export function listOwners(
    view: Pick<ClusterView, "index" | "instances" | "suspected" | "leaving">,
    service: string,
    dataCentre: string,
): readonly string[] {
    const reachable = listPoolInstances(view, service, dataCentre)
        .map(instance => instance.name)
        .filter(name => !view.suspected.has(name));
    const staying = reachable.filter(name => !view.leaving.has(name));
    return staying.length > 0 ? staying : reachable;
}
