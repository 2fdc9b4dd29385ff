import type { ScoreTerms } from "./scoreTerms.js";
import type { TargetGrant } from "./targetGrant.js";
import type { TargetState } from "./targetState.js";

/** A target with capacity for a request. */
export interface TargetCandidate {
    readonly target: TargetState;
    /** Expected time to first event plus penalties, in milliseconds; the lowest score wins. */
    readonly score: number;
    readonly terms: ScoreTerms;
    readonly grant: TargetGrant;
    /** Rate and burst at which this instance may use the target while it is cold. */
    readonly coldShare: { readonly perSecond: number; readonly burst: number; } | undefined;
}
