import type { PoolLedger } from "./poolLedger.js";

/** Returns the slots of a target that entries use or may use, whether or not they still report. */
export function sumReserved(ledger: PoolLedger, target: string): number {
    let sum = 0;
    for (const entry of Object.values(ledger.entries)) {
        const holding = entry.holdings[target];
        sum += holding ? Math.max(holding.reserved, holding.inUse) : 0;
    }
    return sum;
}
