import { computeGrantableSlots } from "./computeGrantableSlots.js";
import { findLowestService } from "./findLowestService.js";
import { isReporting } from "./isReporting.js";
import type { LeaseGrantState } from "./leaseGrantState.js";
import type { LedgerPolicy } from "./ledgerPolicy.js";
import { listUnservedNeeds } from "./listUnservedNeeds.js";
import type { PoolLedger } from "./poolLedger.js";

/** Builds the lease state that the owner of a pool sends to an entry. */
export function buildLeaseState(
    ledger: PoolLedger,
    key: string,
    now: number,
    policy: Pick<LedgerPolicy, "timings" | "horizonSlack">,
): LeaseGrantState {
    const entry = ledger.entries[key];
    let unserved = 0;
    for (const candidate of Object.values(ledger.entries)) {
        if (!isReporting(candidate, now, policy.timings)) {
            continue;
        }
        unserved += listUnservedNeeds(candidate).reduce((sum, need) => sum + need.waiting, 0);
    }
    const free = ledger.recovery
        ? 0
        : Object.keys(ledger.targets).reduce(
            (sum, target) => sum + computeGrantableSlots(ledger, target, now, policy.timings),
            0,
        );
    return {
        sequence: ledger.sequence,
        reportSequence: entry?.reportSequence ?? 0,
        reportedAt: entry?.reportedAt ?? now,
        fencingNumber: ledger.fencingNumber,
        leases: Object.entries(entry?.holdings ?? {})
            .filter(([, holding]) => holding.granted > 0 && holding.deadline > now)
            .map(([target, { granted, deadline }]) => ({ target, slots: granted, deadline })),
        // The entry orders its own accounts itself, so its outdated report of them must not lower the horizon.
        horizon: (findLowestService(ledger, now, policy.timings, key) ?? Number.POSITIVE_INFINITY)
            + policy.horizonSlack,
        recovering: ledger.recovery !== undefined,
        freeSlots: Math.max(0, free - unserved),
    };
}
