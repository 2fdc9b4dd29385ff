/** State that a node of the aggregation tree keeps for one reporting instance. */
export interface ChildCounters {
    /** UUID version 7, so a later start compares higher. */
    readonly incarnation: string;
    /** Highest sequence whose increments were added. */
    readonly sequence: number;
    /** Accounts whose totals the child requested, with the requests that wait in its subtree. */
    readonly waiting: ReadonlyMap<number, number>;
    /** Monotonic time in milliseconds after which the child counts as inactive and its backlog is ignored. */
    readonly expiresAt: number;
}
