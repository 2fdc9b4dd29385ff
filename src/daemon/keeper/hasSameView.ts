import type { KeeperState } from "./keeperState.js";

/** True if two states show the same view; counting a failed call, for example, changes no view. */
export function hasSameView(a: KeeperState, b: KeeperState): boolean {
    return a.adoption.inForce === b.adoption.inForce
        && a.instances === b.instances
        && a.notices === b.notices
        && (a.suspicion === b.suspicion || formatSuspected(a) === formatSuspected(b));
}

function formatSuspected(state: KeeperState): string {
    return Object.entries(state.suspicion)
        .filter(([, peer]) => peer.suspected)
        .map(([name]) => name)
        .sort()
        .join("\n");
}
