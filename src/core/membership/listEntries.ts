import type { ClusterView } from "./clusterView.js";
import type { Instance } from "./instance.js";

/**
 * Returns the instances that callers may connect to: first those of `dataCentre`, then those of its region.
 * Excludes instances that are leaving or suspected and those whose data centre is out of service.
 */
export function listEntries(view: ClusterView, dataCentre: string): readonly Instance[] {
    const dataCentres = view.index?.dataCentres;
    const region = dataCentres?.get(dataCentre)?.region;
    const computeDistance = (instance: Instance): number => {
        if (instance.dataCentre === dataCentre) {
            return 0;
        }
        return region !== undefined && dataCentres?.get(instance.dataCentre)?.region === region ? 1 : 2;
    };
    return view.instances.instances
        .filter(instance =>
            instance.state === "live"
            && !view.leaving.has(instance.name)
            && !view.suspected.has(instance.name)
            && dataCentres?.get(instance.dataCentre)?.inService !== false
        )
        .toSorted((a, b) => computeDistance(a) - computeDistance(b));
}
