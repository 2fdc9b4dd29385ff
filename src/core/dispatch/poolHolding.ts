/** Slots of one target that this entry holds. */
export interface PoolHolding {
    readonly held: number;
    readonly inUse: number;
    /** Highest fencing number known for the target. */
    readonly fencingNumber: number;
}
