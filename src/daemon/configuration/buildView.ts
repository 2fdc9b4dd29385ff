import { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import type { ClusterView } from "../../core/membership/clusterView.js";
import { listLeavingInstances } from "../../core/membership/listLeavingInstances.js";
import type { ManagerState } from "./managerState.js";

/** Builds the view of the fleet; reuses the lookup tables of `previous` if the configuration is unchanged. */
export function buildView(state: ManagerState, previous: ClusterView): ClusterView {
    const bundle = state.adoption.inForce;
    const isUnchanged = previous.configurationDigest === bundle?.digest
        && previous.configurationRevision === bundle.revision;
    const index = bundle && !isUnchanged ? ConfigurationIndex.create(bundle.effective) : previous.index;
    return {
        configurationRevision: bundle?.revision ?? -1,
        configurationDigest: bundle?.digest ?? "",
        index,
        instances: state.instances,
        instancesAdoptedAt: state.instancesAdoptedAt,
        suspected: new Set(
            Object.entries(state.suspicion).filter(([, peer]) => peer.suspected).map(([name]) => name),
        ),
        leaving: listLeavingInstances(state.notices, state.instances),
    };
}
