/** Slots of one target that the owner of its pool has leased to this daemon. */
export interface HeldLease {
    readonly slots: number;
    readonly fencingNumber: number;
    /** Monotonic time in milliseconds after which no request may start. */
    readonly deadline: number;
    /** Monotonic time in milliseconds since when a slot is free and nothing waits; `undefined` when not so. */
    readonly unusedSince: number | undefined;
}
