/** A body that has not arrived completely. */
export interface OpenBody {
    /** Memory that it holds in bytes. */
    readonly heldBytes: number;
    /** Monotonic time in milliseconds of its last progress: its start, or the last time that a good part of it had arrived. */
    readonly progressedAt: number;
}
