import type { Change } from "./change.js";
import type { ChangePosition } from "./changePosition.js";

/** Changes up to a revision, with the time at which that revision was confirmed as the newest. */
export interface ChangeBatch extends ChangePosition {
    readonly changes: readonly Change[];
    /** True if the batch is a full snapshot; keys missing from it were removed. */
    readonly isWhole: boolean;
    /** Monotonic time in milliseconds at which the revision was the newest. */
    readonly confirmedAt: number;
    /** The same moment in Unix milliseconds. */
    readonly confirmedTimeOfDay: number;
}
