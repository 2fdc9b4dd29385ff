/** Number of members by which the views of two entries may differ. */
const MAX_VIEW_DIFFERENCE = 2;

/**
 * Returns the number of grants that a claim needs. Two groups of g members that differ by up to two members
 * have g + 2 members together, so any two quorums share a holder.
 */
export function computeClaimQuorum(groupSize: number): number {
    return Math.min(groupSize, Math.ceil((groupSize + MAX_VIEW_DIFFERENCE + 1) / 2));
}
