import { isReporting } from "./isReporting.js";
import type { LeaseTimings } from "./leaseTimings.js";
import type { PoolLedger } from "./poolLedger.js";

/** Returns the lowest normalised service among accounts that wait for a pool; `undefined` when none waits. */
export function findLowestService(
    ledger: PoolLedger,
    now: number,
    timings: LeaseTimings,
): number | undefined {
    let lowest: number | undefined;
    for (const entry of Object.values(ledger.entries)) {
        const service = isReporting(entry, now, timings) ? entry.needs[0]?.normalizedService : undefined;
        if (service !== undefined && (lowest === undefined || service < lowest)) {
            lowest = service;
        }
    }
    return lowest;
}
