import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { DeploymentView } from "./deploymentView.js";

/** Describes the state of this instance as its peers and callers learn it. */
export function describeOwnState(
    isServing: boolean,
    view: Pick<DeploymentView, "configuration" | "hasHeardPeers" | "isFresh">,
    isBusy: boolean,
): MemberRecord["state"] {
    if (!isServing || !view.configuration || !view.hasHeardPeers) {
        return "closed";
    }
    if (!view.isFresh()) {
        return "limited";
    }
    return isBusy ? "busy" : "open";
}
