import type { LedgerEffect } from "./ledgerEffect.js";
import type { PoolLedger } from "./poolLedger.js";

/** The ledger after an event, and the actions that its owner takes. */
export interface LedgerResult {
    readonly state: PoolLedger;
    readonly effects: readonly LedgerEffect[];
}
