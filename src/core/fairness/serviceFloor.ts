/**
 * Lowest normalised service that an account may have since it became backlogged. A floor is not part of the base:
 * a node with old totals would otherwise add to the base what the account received elsewhere.
 */
export interface ServiceFloor {
    /** Normalised service at the time of the lift. */
    readonly level: number;
    /** Tokens in `served` at that time. */
    readonly served: number;
}
