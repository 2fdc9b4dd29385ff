import type { AccountNeed } from "./accountNeed.js";
import type { EntryState } from "./entryState.js";
import { sumUnusedSlots } from "./sumUnusedSlots.js";

/** Returns the needs of an entry that its unused slots do not cover, the neediest account first. */
export function listUnservedNeeds(entry: EntryState): readonly AccountNeed[] {
    let unused = sumUnusedSlots(entry);
    const unserved: AccountNeed[] = [];
    for (const need of entry.needs) {
        const covered = Math.min(unused, need.waiting);
        unused -= covered;
        if (need.waiting > covered) {
            unserved.push({ ...need, waiting: need.waiting - covered });
        }
    }
    return unserved;
}
