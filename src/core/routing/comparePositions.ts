import type { ChangePosition } from "./changePosition.js";

/** Returns a negative number if `a` is older than `b`, a positive one if it is newer, and 0 if they are the same. */
export function comparePositions(a: ChangePosition, b: ChangePosition): number {
    return a.era - b.era || a.revision - b.revision;
}
