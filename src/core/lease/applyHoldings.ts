import { buildEntryKey } from "./buildEntryKey.js";
import type { EntryState } from "./entryState.js";
import type { LeaseTimings } from "./leaseTimings.js";
import type { LedgerEvent } from "./ledgerEvent.js";
import type { PoolLedger } from "./poolLedger.js";
import type { SlotHolding } from "./slotHolding.js";

/**
 * Records the requests in flight of an instance after a takeover, so that they do not count as foreign work, and raises
 * the fencing number above any that the instance knows. Slots that it still has from the previous owner are not
 * recorded, because they belong to that owner's loans.
 */
export function applyHoldings(
    ledger: PoolLedger,
    event: Extract<LedgerEvent, { type: "holdings"; }>,
    now: number,
    timings: LeaseTimings,
): PoolLedger {
    const key = buildEntryKey(event.instance, event.incarnation);
    const recovery = ledger.recovery && {
        ...ledger.recovery,
        pending: ledger.recovery.pending.filter(instance => instance !== event.instance),
    };
    const fencingNumber = Math.max(ledger.fencingNumber, event.fencingNumber + 1);
    const inUse = Object.entries(event.inUse).filter(([, count]) => count > 0);
    if (ledger.entries[key] || inUse.length === 0) {
        return { ...ledger, recovery, fencingNumber };
    }
    const holdings = Object.fromEntries(inUse.map(([target, count]): [string, SlotHolding] => [target, {
        granted: 0,
        reserved: 0,
        changeSequence: 0,
        deadline: now + timings.termMs,
        inUse: count,
        minInUse: 0,
        maxInUse: count,
        coldAnswers: 0,
        busyAnswers: 0,
    }]));
    const entry: EntryState = {
        instance: event.instance,
        reportSequence: 0,
        reportedAt: now,
        waitingSince: undefined,
        needs: [],
        holdings,
    };
    return { ...ledger, recovery, fencingNumber, entries: { ...ledger.entries, [key]: entry } };
}
