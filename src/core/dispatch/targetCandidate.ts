import type { Target } from "../configuration/target.js";
import type { Allowance } from "./allowance.js";
import type { Distance } from "./distance.js";

/** A target in service with a free slot. */
export interface TargetCandidate {
    readonly target: Target;
    readonly distance: Distance;
    readonly allowance: Allowance;
    /** Requests of this instance in flight at the target. */
    readonly inUse: number;
}
