/** What a node of the aggregation tree remembers of one reporting daemon. */
export interface ChildCounters {
    /** UUID version 7, so a later start compares higher. */
    readonly incarnation: string;
    /** Highest sequence whose increments were added. */
    readonly sequence: number;
    /** Accounts the child asked for, with the requests that wait below it. */
    readonly waiting: ReadonlyMap<number, number>;
    /** Monotonic time in milliseconds after which the child counts as silent. */
    readonly expiresAt: number;
}
