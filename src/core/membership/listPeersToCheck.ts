import type { ClusterView } from "./clusterView.js";
import type { Instance } from "./instance.js";
import { rankReaders } from "./rankReaders.js";
import { readersPerDataCentre } from "./readersPerDataCentre.js";

/**
 * Returns the peers from which an instance picks one to ask for newer revisions, independently of the
 * exchange tree. Readers ask remote data centres. The instances that rank highest as readers, about the
 * square root of their number, ask the readers, and all others ask these. A change thus reaches every instance
 * in two checks, and an instance is asked by at most about the square root of the instances of its data
 * centre. Picking among all instances would take nine checks for 1,100 instances.
 */
export function listPeersToCheck(
    view: ClusterView,
    instance: string,
    dataCentre: string,
): readonly Instance[] {
    const ranked = rankReaders(view, dataCentre);
    const rank = ranked.findIndex(candidate => candidate.name === instance);
    const relayCount = Math.max(readersPerDataCentre, Math.ceil(Math.sqrt(ranked.length)));
    const localPeers = ranked.filter(candidate => isReachable(candidate, view, instance));
    const remotePeers = view.instances.instances.filter(candidate =>
        candidate.dataCentre !== dataCentre && isReachable(candidate, view, instance)
    );
    if (rank >= 0 && rank < readersPerDataCentre) {
        return remotePeers.length > 0 ? remotePeers : localPeers;
    }
    const selected = localPeers.slice(0, rank >= 0 && rank < relayCount ? readersPerDataCentre : relayCount);
    return selected.length > 0 ? selected : remotePeers;
}

function isReachable(candidate: Instance, view: ClusterView, instance: string): boolean {
    return candidate.name !== instance && candidate.state === "live"
        && !view.suspected.has(candidate.name) && !view.leaving.has(candidate.name);
}
