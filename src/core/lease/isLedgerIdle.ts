import type { PoolLedger } from "./poolLedger.js";

/** True when no entry uses or may still use slots, so that the pool can be given back to the lenders. */
export function isLedgerIdle(ledger: PoolLedger, now: number, marginMs: number): boolean {
    return Object.values(ledger.entries).every(entry =>
        Object.values(entry.holdings).every(holding =>
            holding.inUse === 0 && (holding.reserved === 0 || now > holding.deadline + marginMs)
        )
    );
}
