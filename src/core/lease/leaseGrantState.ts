/** Full lease state of one entry, before it is encoded. Times are monotonic, in milliseconds. */
export interface LeaseGrantState {
    readonly sequence: number;
    /** Sequence of the newest demand report that this state takes into account. */
    readonly reportSequence: number;
    /** Time at which the report `reportSequence` arrived. */
    readonly reportedAt: number;
    readonly fencingNumber: number;
    readonly leases: readonly {
        readonly target: string;
        readonly slots: number;
        readonly deadline: number;
    }[];
    /** Highest normalised service up to which freed slots may be reused without asking the owner. */
    readonly horizon: number;
    /** True while a new owner still collects holdings and grants nothing. */
    readonly recovering: boolean;
    /** Free slots of the pool that no waiting request needs. */
    readonly freeSlots: number;
}
