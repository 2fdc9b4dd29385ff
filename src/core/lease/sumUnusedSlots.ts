import type { EntryState } from "./entryState.js";

/** Returns how many slots an entry holds without using them. */
export function sumUnusedSlots(entry: EntryState): number {
    return Object.values(entry.holdings).reduce(
        (sum, holding) => sum + Math.max(0, holding.granted - holding.inUse),
        0,
    );
}
