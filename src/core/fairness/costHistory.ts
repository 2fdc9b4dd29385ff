/** What the finished requests of one account cost. */
export interface CostHistory {
    /** Moving average of the actual cost in tokens. */
    readonly averageCost: number;
    /** Moving average of actual cost / hint; at least 1 matters, because a hint only lowers an estimate. */
    readonly hintRatio: number;
}
