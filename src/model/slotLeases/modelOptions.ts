import type { LeaseTimings } from "../../core/lease/leaseTimings.js";
import type { PoolLedger } from "../../core/lease/poolLedger.js";

/** Bounds of the slot lease model, and the parts that a deliberately broken variant changes. */
export interface ModelOptions {
    readonly name: string;
    /** Length of a history in ticks. */
    readonly ticks: number;
    /** Number of times that the second owner may take over the pool. */
    readonly takeovers: number;
    /** Other faults in one history: crash, restart, delay, loss, pause, list change. */
    readonly faults: number;
    readonly slotLimit: number;
    readonly coldLimit: number;
    /** Maximum number of ticks between the adoptions of an instance list by the two lenders. */
    readonly maxSkew: number;
    /** Durations in ticks, which the model uses in place of milliseconds. */
    readonly timings: LeaseTimings;
    readonly lenderTimings: LeaseTimings;
    /** Applied to an owner's ledger before each of its events. */
    readonly changeLedger: (ledger: PoolLedger) => PoolLedger;
}
