/** Full lease state of one entry, before it is encoded. Times are monotonic, in milliseconds. */
export interface LeaseGrantState {
    readonly sequence: number;
    readonly reportSequence: number;
    /** Arrival of the report `reportSequence`. */
    readonly reportedAt: number;
    readonly fencingNumber: number;
    readonly leases: readonly {
        readonly target: string;
        readonly slots: number;
        readonly deadline: number;
    }[];
    /** Highest normalised service up to which freed slots may be reused without asking. */
    readonly horizon: number;
    readonly recovering: boolean;
    /** Slots that are free and that nobody waits for. */
    readonly freeSlots: number;
}
