import type { PoolLedger } from "./poolLedger.js";

/** Returns how many slots of a target entries use or may use, including entries that stopped reporting. */
export function sumReserved(ledger: PoolLedger, target: string): number {
    let sum = 0;
    for (const entry of Object.values(ledger.entries)) {
        const holding = entry.holdings[target];
        sum += holding ? Math.max(holding.reserved, holding.inUse) : 0;
    }
    return sum;
}
