import type { LenderState } from "../../core/lease/lenderState.js";
import type { PoolLedger } from "../../core/lease/poolLedger.js";
import type { ModelEntry } from "./modelEntry.js";
import type { ModelMessage } from "./modelMessage.js";

/** State of the slot lease model. The present is always time 0; other times are relative to it. */
export interface ModelState {
    readonly lenders: readonly LenderState[];
    /** By lender: true once it has adopted the second instance list. */
    readonly adopted: readonly boolean[];
    /** Ticks since the first lender adopted the second list, while the other has not. */
    readonly skew: number;
    /** Ledger of each daemon that considers itself the owner. */
    readonly owners: Readonly<Record<string, PoolLedger>>;
    readonly entries: readonly ModelEntry[];
    /** Requests of crashed entries that still run at the target. */
    readonly orphans: number;
    readonly isWarm: boolean;
    /**
     * Whose turn it is within a tick: 0 the environment, then each entry.
     */
    readonly phase: number;
    /** A message that is late. */
    readonly delayed: ModelMessage | undefined;
    /** Ticks that may still pass. */
    readonly ticks: number;
    /** Times that the second owner may still take the pool over. */
    readonly takeovers: number;
    /** Other faults that may still happen. */
    readonly faults: number;
}
