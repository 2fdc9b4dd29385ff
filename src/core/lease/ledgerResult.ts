import type { LedgerEffect } from "./ledgerEffect.js";
import type { PoolLedger } from "./poolLedger.js";

/** Ledger after an event, and what the owner does. */
export interface LedgerResult {
    readonly state: PoolLedger;
    readonly effects: readonly LedgerEffect[];
}
