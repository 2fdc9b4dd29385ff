import type { ClusterView } from "../membership/clusterView.js";
import type { Instance } from "../membership/instance.js";

/** Returns the instances that hold claims, including suspected ones, because suspicion differs between instances. */
export function listClaimHolders(view: ClusterView): readonly Instance[] {
    return view.instances.instances.filter(instance =>
        instance.state === "live" && !view.leaving.has(instance.name)
    );
}
