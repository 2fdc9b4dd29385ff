import type { Change } from "./change.js";

/** Changes up to a revision, with the time at which that revision was confirmed as the newest. */
export interface ChangeBatch {
    readonly changes: readonly Change[];
    /** True if the batch is a full snapshot; keys missing from it were removed. */
    readonly isWhole: boolean;
    readonly revision: number;
    /** Monotonic time in milliseconds at which the revision was the newest. */
    readonly confirmedAt: number;
    /** The same moment in Unix milliseconds. */
    readonly confirmedTimeOfDay: number;
}
