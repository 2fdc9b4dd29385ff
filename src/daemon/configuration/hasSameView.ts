import type { ManagerState } from "./managerState.js";

/** True if two states result in the same view, for example if they differ only in the failures counted. */
export function hasSameView(a: ManagerState, b: ManagerState): boolean {
    return a.adoption.inForce === b.adoption.inForce
        && a.instances === b.instances
        && a.notices === b.notices
        && (a.suspicion === b.suspicion || formatSuspected(a) === formatSuspected(b));
}

function formatSuspected(state: ManagerState): string {
    return Object.entries(state.suspicion)
        .filter(([, peer]) => peer.suspected)
        .map(([name]) => name)
        .sort()
        .join("\n");
}
