/** How far the model check of a claim goes. */
export interface ClaimBounds {
    /**
     * Differences between the groups of the two entries, in members. Up to two of them were there when the key
     * was made; further ones stepped in later.
     */
    readonly viewDifferences: readonly number[];
    /** Most crashes without memory, of holders that hold a claim. */
    readonly maxCrashes: number;
}
