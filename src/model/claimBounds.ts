/** Bounds of the claim model. */
export interface ClaimBounds {
    /**
     * Numbers of members by which the groups of the two entries may differ. Up to two of these members were in
     * the group when the key was created; any others joined later.
     */
    readonly viewDifferences: readonly number[];
    /** Maximum number of crashes of holders that store a claim; a crash loses it. */
    readonly maxCrashes: number;
}
