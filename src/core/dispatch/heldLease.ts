/** Slots of one target that the owner of its pool has leased to this entry. */
export interface HeldLease {
    readonly slots: number;
    readonly fencingNumber: number;
    /** Monotonic time in milliseconds after which no request may start. */
    readonly deadline: number;
    /** Monotonic time in milliseconds since when a slot has been free with nothing waiting; otherwise `undefined`. */
    readonly unusedSince: number | undefined;
}
