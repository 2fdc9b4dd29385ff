/** A daemon's current knowledge of the service that client accounts received. */
export interface FairnessView {
    /** Normalised service of an account in tokens per unit of share, lag limit applied. */
    readonly getNormalizedService: (account: string) => number;
    /** Lowest normalised service among backlogged accounts of the fleet; `undefined` when none is backlogged. */
    readonly lowestBacklogged: number | undefined;
    /** Highest normalised service among backlogged accounts of the fleet; `undefined` when none is backlogged. */
    readonly highestBacklogged: number | undefined;
    /** Accounts lagging further than this behind `highestBacklogged` ask remote pools without delay. */
    readonly remoteLagThreshold: number;
}
