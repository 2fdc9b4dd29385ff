import type { SlotCandidate } from "./slotCandidate.js";

/**
 * Picks the candidate whose account has the lowest normalised service. Ties go to the entry with the fewest slots, so
 * that accounts with equal service are not all served through one entry.
 */
export function pickLowestService(candidates: readonly SlotCandidate[]): SlotCandidate | undefined {
    return candidates.reduce<SlotCandidate | undefined>(
        (best, candidate) => !best || compareCandidates(candidate, best) < 0 ? candidate : best,
        undefined,
    );
}

function compareCandidates(a: SlotCandidate, b: SlotCandidate): number {
    return a.normalizedService - b.normalizedService
        || a.heldSlots - b.heldSlots
        || (a.entry < b.entry ? -1 : 1);
}
