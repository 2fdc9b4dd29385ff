/** Load of the targets that one data centre has for a service, in units of the work that fills one target. */
export interface DataCentreLoad {
    /** Targets that take requests at their full rate. */
    readonly targets: number;
    /** Mean load of these targets, of all instances; 1 is full, and a data centre without such targets is full. */
    readonly fill: number;
    /** Targets that could still be filled; negative if the targets are filled beyond 1. */
    readonly headroom: number;
    /** Part of the load that this instance has put there. */
    readonly ownUse: number;
}
