import type { EntryState } from "./entryState.js";

/** Returns the slots that the entry holds and does not use. */
export function sumSpare(entry: EntryState): number {
    return Object.values(entry.holdings).reduce(
        (sum, holding) => sum + Math.max(0, holding.granted - holding.inUse),
        0,
    );
}
