import { isReporting } from "./isReporting.js";
import type { LeaseTimings } from "./leaseTimings.js";
import type { PoolLedger } from "./poolLedger.js";

/**
 * Returns the lowest normalised service among the accounts with requests that wait for a pool; `undefined` if there is
 * none. Entries that stopped reporting do not count.
 *
 * @param except Key of an entry whose accounts are left out.
 */
export function findLowestService(
    ledger: PoolLedger,
    now: number,
    timings: LeaseTimings,
    except?: string,
): number | undefined {
    let lowest: number | undefined;
    for (const [key, entry] of Object.entries(ledger.entries)) {
        const service = key !== except && isReporting(entry, now, timings)
            ? entry.needs[0]?.normalizedService
            : undefined;
        if (service !== undefined && (lowest === undefined || service < lowest)) {
            lowest = service;
        }
    }
    return lowest;
}
