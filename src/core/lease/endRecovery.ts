import type { LedgerResult } from "./ledgerResult.js";
import type { PoolLedger } from "./poolLedger.js";

/** Ends the recovery of a new owner when all instances have replied or its deadline has expired. */
export function endRecovery(ledger: PoolLedger, now: number): LedgerResult {
    if (!ledger.recovery || (ledger.recovery.pending.length > 0 && now < ledger.recovery.deadline)) {
        return { state: ledger, effects: [] };
    }
    const reason = ledger.recovery.pending.length === 0 ? "recovered-all-replied" : "recovered-term-passed";
    return {
        state: { ...ledger, recovery: undefined },
        effects: [{ type: "record", reason, count: 1 }],
    };
}
