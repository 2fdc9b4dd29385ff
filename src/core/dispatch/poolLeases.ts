import type { HeldLease } from "./heldLease.js";

/** Leases of this entry in one pool and the newest state received from the owner. */
export interface PoolLeases {
    readonly service: string;
    readonly dataCentre: string;
    /** Owner and incarnation of the newest applied lease state; empty before the first. */
    readonly owner: string;
    readonly ownerIncarnation: string;
    /** Sequence of the newest applied lease state. */
    readonly sequence: number;
    /** Leases by target name. */
    readonly leases: ReadonlyMap<string, HeldLease>;
    /** Highest normalised service that may reuse a slot without a new grant; `undefined` when there is no limit. */
    readonly horizon: number | undefined;
    /** Free slots of the pool beyond the demand reported to its owner, in the newest lease state. */
    readonly freeSlots: number;
    /** True while a new owner collects holdings and grants nothing. */
    readonly recovering: boolean;
    /** True if the newest demand report requested slots; its accounts then limit the horizon of other entries. */
    readonly hasDemand: boolean;
    /** Sequence of the newest demand report. */
    readonly reportSequence: number;
    /** Sequence of the first demand report that shows the newest return of slots. */
    readonly returnSequence: number;
    /** Number of slot returns so far; a change is reported early. */
    readonly returnCount: number;
}
