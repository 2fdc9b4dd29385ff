import type { EntryState } from "./entryState.js";
import type { LeaseTimings } from "./leaseTimings.js";

/** True if the entry has sent a report within the last lease term. */
export function isReporting(entry: EntryState, now: number, timings: LeaseTimings): boolean {
    return entry.reportSequence > 0 && now - entry.reportedAt <= timings.termMs;
}
