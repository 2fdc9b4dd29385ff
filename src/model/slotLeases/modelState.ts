import type { LenderState } from "../../core/lease/lenderState.js";
import type { PoolLedger } from "../../core/lease/poolLedger.js";
import type { ModelEntry } from "./modelEntry.js";
import type { ModelMessage } from "./modelMessage.js";

/** State of the slot lease model. The present is always time 0; other times are in ticks relative to it. */
export interface ModelState {
    readonly lenders: readonly LenderState[];
    /** By lender: true once it has adopted the second instance list. */
    readonly adopted: readonly boolean[];
    /** Ticks since the first lender adopted the second list, while the other has not. */
    readonly skew: number;
    /** Ledger of each instance that considers itself the owner, by name of the owner. */
    readonly owners: Readonly<Record<string, PoolLedger>>;
    readonly entries: readonly ModelEntry[];
    /** Requests of crashed entries that still run at the target. */
    readonly orphans: number;
    readonly isWarm: boolean;
    /** Current turn within a tick: 0 for the environment, then one for each entry. */
    readonly phase: number;
    /** The message that is delayed, at most one at a time. */
    readonly delayed: ModelMessage | undefined;
    /** Ticks that may still pass. */
    readonly ticks: number;
    /** Number of times that the second owner may still take over the pool. */
    readonly takeovers: number;
    /** Other faults that may still happen. */
    readonly faults: number;
}
