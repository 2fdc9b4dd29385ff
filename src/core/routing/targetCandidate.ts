import type { TargetGrant } from "./targetGrant.js";
import type { TargetState } from "./targetState.js";

/** A target that has room for a request. */
export interface TargetCandidate {
    readonly target: TargetState;
    /** Expected time to the first event and further costs in milliseconds; the lowest wins. */
    readonly score: number;
    readonly grant: TargetGrant;
    /** Rate and burst at which this instance may use the target while it is cold. */
    readonly coldShare: { readonly perSecond: number; readonly burst: number; } | undefined;
}
