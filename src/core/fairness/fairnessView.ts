/** Service that client accounts received, as this instance currently knows it. */
export interface FairnessView {
    /** Normalised service of an account in tokens per unit of share, lag limit applied. */
    readonly getNormalizedService: (account: string) => number;
    /** Lowest normalised service among backlogged accounts of the fleet; `undefined` when none is backlogged. */
    readonly lowestBacklogged: number | undefined;
    /** Highest normalised service among backlogged accounts of the fleet; `undefined` when none is backlogged. */
    readonly highestBacklogged: number | undefined;
    /** Accounts that lag further than this behind `highestBacklogged` request slots of remote pools without delay. */
    readonly remoteLagThreshold: number;
}
