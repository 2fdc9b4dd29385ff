/** Lease state of one pool as received, with names and deadlines resolved. */
export interface LeaseUpdate {
    readonly owner: string;
    /** UUID version 7. */
    readonly ownerIncarnation: string;
    readonly sequence: number;
    /** Sequence of the newest demand report that the owner had applied. */
    readonly reportSequence: number;
    readonly leases: ReadonlyMap<string, {
        readonly slots: number;
        readonly fencingNumber: number;
        /** Monotonic time in milliseconds. */
        readonly deadline: number;
    }>;
    readonly horizon: number | undefined;
    readonly freeSlots: number;
    readonly recovering: boolean;
}
