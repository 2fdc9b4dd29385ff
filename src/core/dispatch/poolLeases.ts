import type { HeldLease } from "./heldLease.js";

/** What this daemon holds of one pool. */
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
    /** Highest normalised service that may reuse a slot; `undefined` when there is no limit. */
    readonly horizon: number | undefined;
    /** Free slots of the pool that nobody nearer waits for, in the newest lease state. */
    readonly freeSlots: number;
    /** True while a new owner collects holdings and grants nothing. */
    readonly recovering: boolean;
    /** True if the newest demand report named waiting accounts; they then count in the owner's horizon. */
    readonly asked: boolean;
    /** Sequence of the newest demand report. */
    readonly reportSequence: number;
    /** Sequence of the first demand report that shows the newest return of slots. */
    readonly returnSequence: number;
    /** Number of returns so far; a change is worth an early report. */
    readonly returns: number;
}
