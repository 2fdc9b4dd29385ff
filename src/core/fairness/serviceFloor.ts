/**
 * Lower bound of the normalised service of an account since it became backlogged. A floor is not part of the base:
 * a node with outdated totals would otherwise add to the base what the account received at other instances.
 */
export interface ServiceFloor {
    /** Normalised service at the time of the lift. */
    readonly level: number;
    /** Tokens in `served` at that time. */
    readonly served: number;
}
