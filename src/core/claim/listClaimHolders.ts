import type { ClusterView } from "../membership/clusterView.js";
import type { Instance } from "../membership/instance.js";

/** Returns the instances that hold claims. Suspicion differs between daemons, so it does not count here. */
export function listClaimHolders(view: ClusterView): readonly Instance[] {
    return view.instances.instances.filter(instance =>
        instance.state === "live" && !view.leaving.has(instance.name)
    );
}
