/** Demand of one client account at one entry. */
export interface AccountNeed {
    /** Hash of the account name, see `hashName`. */
    readonly account: number;
    /** Requests that wait for a slot. */
    readonly waiting: number;
    /** Normalised service in tokens per unit of share. */
    readonly normalizedService: number;
}
