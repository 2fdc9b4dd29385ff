/** Moving averages over the completed requests of one account for one service. */
export interface CostHistory {
    /** Average of the actual cost in tokens. */
    readonly averageCost: number;
    /** Average of actual cost / hint; a value below 1 counts as 1, because a hint only lowers an estimate. */
    readonly hintRatio: number;
}
