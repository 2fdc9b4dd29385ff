import type { ClusterView } from "../membership/clusterView.js";
import { listPoolInstances } from "./listPoolInstances.js";

/**
 * Returns the names of the instances that may own a pool and are neither suspected nor leaving, the owner first. The
 * list is empty if all are: the lenders are the same instances, so another owner could borrow nothing.
 */
export function listOwners(
    view: Pick<ClusterView, "index" | "instances" | "suspected" | "leaving">,
    service: string,
    dataCentre: string,
): readonly string[] {
    return listPoolInstances(view, service, dataCentre)
        .map(instance => instance.name)
        .filter(name => !view.suspected.has(name) && !view.leaving.has(name));
}
