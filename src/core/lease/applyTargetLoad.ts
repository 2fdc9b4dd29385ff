import { applyLoadReport } from "./applyLoadReport.js";
import type { EntryState } from "./entryState.js";
import type { LeaseTimings } from "./leaseTimings.js";
import type { LedgerEffect } from "./ledgerEffect.js";
import type { LedgerEvent } from "./ledgerEvent.js";
import type { LedgerResult } from "./ledgerResult.js";
import type { PoolLedger } from "./poolLedger.js";
import type { SlotHolding } from "./slotHolding.js";

/**
 * Takes a load report: advances the cold ramp, drops the reservations of silent entries whose lease
 * had ended before the measurement, and estimates the foreign work.
 *
 * The known work at the time of measurement lies between the lowest that entries reported and the
 * most that their leases allowed since the previous load report, so the report allows a range of
 * foreign work. The estimate moves only as far as this range requires; otherwise requests that begin
 * or end around the measurement would appear as foreign work and leave slots idle.
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
    let low = 0;
    let high = 0;
    let isUncertain = slots.uncertainSince !== undefined;
    for (const [key, entry] of Object.entries(ledger.entries)) {
        const holding = entry.holdings[target];
        if (!holding) {
            entries[key] = entry;
            continue;
        }
        if (hasEnded(entry, holding, event.requestedAt, timings)) {
            effects.push({ type: "record", reason: "entry-cleared", count: 1, entry: key, target });
            const others = Object.entries(entry.holdings).filter(([name]) => name !== target);
            entries[key] = { ...entry, holdings: Object.fromEntries(others) };
            isUncertain = true;
            continue;
        }
        low += holding.lowInUse;
        // An entry may have started requests on all its slots since its last report.
        const possible = Math.max(holding.inUse, holding.reserved);
        high += Math.max(holding.highInUse, possible);
        const next = { ...holding, lowInUse: holding.inUse, highInUse: possible };
        entries[key] = { ...entry, holdings: { ...entry.holdings, [target]: next } };
    }
    const most = Math.max(0, event.report.running - low);
    const least = Math.max(0, event.report.running - high);
    const foreign = isUncertain ? most : Math.min(most, Math.max(least, slots.foreign));
    if (slots.load && load.bearable < slots.load.bearable && load.bearable <= slots.coldLimit) {
        effects.push({ type: "record", reason: "target-cold", count: 1, target });
    }
    const isSettled = slots.uncertainSince === undefined || event.requestedAt >= slots.uncertainSince;
    const changed = {
        ...slots,
        load,
        foreign,
        uncertainSince: isSettled ? undefined : slots.uncertainSince,
    };
    return { state: { ...ledger, targets: { ...ledger.targets, [target]: changed }, entries }, effects };
}

function hasEnded(
    entry: EntryState,
    holding: SlotHolding,
    requestedAt: number,
    timings: LeaseTimings,
): boolean {
    const lastStart = Math.max(holding.deadline, entry.reportedAt + timings.termMs) + timings.marginMs;
    return requestedAt - timings.loadLagMs > lastStart;
}
