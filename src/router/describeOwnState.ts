import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { DeploymentView } from "./deploymentView.js";
import type { LoadObserver } from "./loadObserver.js";

/** Describes the state of this instance as its peers and callers learn it. */
export function describeOwnState(
    isServing: boolean,
    view: Pick<DeploymentView, "configuration" | "hasHeardPeers" | "isFresh">,
    loadObserver: Pick<LoadObserver, "isBusy">,
): MemberRecord["state"] {
    if (!isServing || !view.configuration || !view.hasHeardPeers) {
        return "closed";
    }
    if (!view.isFresh()) {
        return "limited";
    }
    return loadObserver.isBusy ? "busy" : "open";
}
