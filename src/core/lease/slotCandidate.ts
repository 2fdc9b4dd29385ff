/** An entry whose neediest unserved account could get the next slot. */
export interface SlotCandidate {
    /** Key of the entry. */
    readonly entry: string;
    /** Hash of the account name, see `hashName`. */
    readonly account: number;
    /** Normalised service of the account in tokens per unit of share. */
    readonly normalizedService: number;
    /** Slots that the entry holds in the pool. */
    readonly heldSlots: number;
    /** Monotonic time in milliseconds since which requests have been waiting at the entry. */
    readonly waitingSince: number;
}
