import type { ClusterView } from "../membership/clusterView.js";
import { listPoolInstances } from "./listPoolInstances.js";

const LENDER_COUNT = 5;

/** Returns the names of the lenders of a pool; slot i belongs to the lender at index i mod their number. */
export function listLenders(
    view: Pick<ClusterView, "index" | "instances">,
    service: string,
    dataCentre: string,
): readonly string[] {
    return listPoolInstances(view, service, dataCentre).slice(0, LENDER_COUNT).map(instance => instance.name);
}
