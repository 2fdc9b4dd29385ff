import { applyLoadReport } from "./applyLoadReport.js";
import type { EntryState } from "./entryState.js";
import type { LeaseTimings } from "./leaseTimings.js";
import type { LedgerEffect } from "./ledgerEffect.js";
import type { LedgerEvent } from "./ledgerEvent.js";
import type { LedgerResult } from "./ledgerResult.js";
import type { PoolLedger } from "./poolLedger.js";
import type { SlotHolding } from "./slotHolding.js";

/**
 * Applies a load report: advances the slow start of the target, drops the reservations of entries that stopped
 * reporting and whose lease had ended before the measurement, and estimates the foreign work, which are the requests at
 * the target that no known entry accounts for.
 *
 * At the time of measurement the known entries had at least the lowest number of requests that they reported since the
 * previous load report, and at most the number that their leases allowed. This gives a range for the foreign work, and
 * the estimate moves only as far as the range requires. Otherwise requests that start or end around the measurement
 * would count as foreign work and leave slots idle.
 */
export function applyTargetLoad(
    ledger: PoolLedger,
    event: Extract<LedgerEvent, { type: "load"; }>,
    timings: LeaseTimings,
): LedgerResult {
    const slots = ledger.targets[event.target];
    if (!slots) {
        return { state: ledger, effects: [] };
    }
    const load = applyLoadReport(slots.load, event.report, event.requestedAt, slots.coldLimit, timings);
    if (load === slots.load) {
        return { state: ledger, effects: [] };
    }
    const { target } = event;
    const effects: LedgerEffect[] = [];
    const entries: Record<string, EntryState> = {};
    let minKnown = 0;
    let maxKnown = 0;
    let isUncertain = slots.uncertainSince !== undefined;
    for (const [key, entry] of Object.entries(ledger.entries)) {
        const holding = entry.holdings[target];
        if (!holding) {
            entries[key] = entry;
            continue;
        }
        if (hasExpired(entry, holding, event.requestedAt, timings)) {
            effects.push({ type: "record", reason: "entry-cleared", count: 1, entry: key, target });
            const others = Object.entries(entry.holdings).filter(([name]) => name !== target);
            entries[key] = { ...entry, holdings: Object.fromEntries(others) };
            isUncertain = true;
            continue;
        }
        minKnown += holding.minInUse;
        // An entry may have started requests on all its slots since its last report.
        const possibleInUse = Math.max(holding.inUse, holding.reserved);
        maxKnown += Math.max(holding.maxInUse, possibleInUse);
        const next = { ...holding, minInUse: holding.inUse, maxInUse: possibleInUse };
        entries[key] = { ...entry, holdings: { ...entry.holdings, [target]: next } };
    }
    const maxForeign = Math.max(0, event.report.running - minKnown);
    const minForeign = Math.max(0, event.report.running - maxKnown);
    const foreign = isUncertain ? maxForeign : Math.min(maxForeign, Math.max(minForeign, slots.foreign));
    if (slots.load && load.limit < slots.load.limit && load.limit <= slots.coldLimit) {
        effects.push({ type: "record", reason: "target-cold", count: 1, target });
    }
    const isSettled = slots.uncertainSince === undefined || event.requestedAt >= slots.uncertainSince;
    const changedSlots = {
        ...slots,
        load,
        foreign,
        uncertainSince: isSettled ? undefined : slots.uncertainSince,
    };
    return { state: { ...ledger, targets: { ...ledger.targets, [target]: changedSlots }, entries }, effects };
}

function hasExpired(
    entry: EntryState,
    holding: SlotHolding,
    requestedAt: number,
    timings: LeaseTimings,
): boolean {
    const latestStart = Math.max(holding.deadline, entry.reportedAt + timings.termMs) + timings.marginMs;
    return requestedAt - timings.loadReportAgeMs > latestStart;
}
