import type { LeaseTimings } from "./leaseTimings.js";
import type { SlotCandidate } from "./slotCandidate.js";

/** Parameters and functions that can differ between pools, and between the product and its baselines. */
export interface LedgerPolicy {
    readonly timings: LeaseTimings;
    /** H of the design page: how far the horizon lies above the lowest service, in tokens per unit of share. */
    readonly horizonSlack: number;
    /** Unused slots that an active entry may hold while nobody waits. */
    readonly maxUnusedSlots: number;
    /** Picks the entry that gets the next free slot. */
    readonly pickNeediest: (candidates: readonly SlotCandidate[]) => SlotCandidate | undefined;
}
