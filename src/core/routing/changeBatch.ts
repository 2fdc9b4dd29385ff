import type { Change } from "./change.js";

/** Changes up to a revision, with the time at which nothing newer existed. */
export interface ChangeBatch {
    readonly changes: readonly Change[];
    /** True if the changes are all keys that exist; keys that are missing were removed. */
    readonly isWhole: boolean;
    readonly revision: number;
    /** Monotonic time in milliseconds at which the revision was the newest. */
    readonly confirmedAt: number;
    /** Unix milliseconds of the same moment. */
    readonly confirmedTimeOfDay: number;
}
