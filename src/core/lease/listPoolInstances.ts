import type { ClusterView } from "../membership/clusterView.js";
import type { Instance } from "../membership/instance.js";
import { rankInstances } from "../membership/rankInstances.js";
import { buildPoolKey } from "./buildPoolKey.js";

/**
 * Returns the instances that may own or lend a pool, highest rank first: the live instances of its data centre; if
 * there are none, those of its region; if there are none, those of the fleet.
 */
export function listPoolInstances(
    view: Pick<ClusterView, "index" | "instances">,
    service: string,
    dataCentre: string,
): readonly Instance[] {
    const live = view.instances.instances.filter(instance => instance.state === "live");
    const dataCentres = view.index?.dataCentres;
    const region = dataCentres?.get(dataCentre)?.region;
    const local = live.filter(instance => instance.dataCentre === dataCentre);
    const regional = live.filter(instance =>
        region !== undefined && dataCentres?.get(instance.dataCentre)?.region === region
    );
    const eligible = [local, regional, live].find(instances => instances.length > 0) ?? [];
    return rankInstances(`pool:${buildPoolKey(service, dataCentre)}`, eligible);
}
