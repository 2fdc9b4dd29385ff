/** Demand of one client account at one entry. */
export interface AccountNeed {
    readonly account: number;
    readonly waiting: number;
    /** Normalised service in tokens per unit of share. */
    readonly normalizedService: number;
}
