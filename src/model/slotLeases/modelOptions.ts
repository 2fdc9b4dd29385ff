import type { LeaseTimings } from "../../core/lease/leaseTimings.js";
import type { PoolLedger } from "../../core/lease/poolLedger.js";

/** Size of the slot lease model, and what a deliberately broken variant changes. */
export interface ModelOptions {
    readonly name: string;
    /** Length of a history in ticks. */
    readonly ticks: number;
    /** Times that the second owner may take the pool over. */
    readonly takeovers: number;
    /** Other faults in one history: crash, restart, delay, loss, pause, list change. */
    readonly faults: number;
    readonly slotLimit: number;
    readonly coldLimit: number;
    /** Most ticks between the adoptions of an instance list by two lenders. */
    readonly maxSkew: number;
    /** Times in ticks. */
    readonly timings: LeaseTimings;
    readonly lenderTimings: LeaseTimings;
    /** Applied to an owner's ledger before each of its events. */
    readonly changeLedger: (ledger: PoolLedger) => PoolLedger;
}
