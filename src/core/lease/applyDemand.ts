import { buildEntryKey } from "./buildEntryKey.js";
import type { EntryState } from "./entryState.js";
import { findCoveredDeadline } from "./findCoveredDeadline.js";
import type { LedgerEffect } from "./ledgerEffect.js";
import type { LedgerEvent } from "./ledgerEvent.js";
import type { LedgerPolicy } from "./ledgerPolicy.js";
import type { LedgerResult } from "./ledgerResult.js";
import { limitLoad } from "./limitLoad.js";
import type { PoolLedger } from "./poolLedger.js";
import type { ReportedHolding } from "./reportedHolding.js";
import type { SlotHolding } from "./slotHolding.js";

const NOTHING: ReportedHolding = { held: 0, inUse: 0, coldAnswers: 0, busyAnswers: 0 };

/**
 * Replaces what is known of an entry by its newest report, limits targets that responded cold or busy, and renews the
 * leases of the entry. Old and repeated reports are ignored.
 */
export function applyDemand(
    ledger: PoolLedger,
    event: Extract<LedgerEvent, { type: "demand"; }>,
    now: number,
    policy: LedgerPolicy,
): LedgerResult {
    const key = buildEntryKey(event.instance, event.incarnation);
    const known = ledger.entries[key];
    const { report } = event;
    if (known && report.sequence <= known.reportSequence) {
        return { state: ledger, effects: [] };
    }
    const isWaiting = report.needs.some(need => need.waiting > 0);
    const entry: EntryState = {
        instance: event.instance,
        reportSequence: report.sequence,
        reportedAt: now,
        waitingSince: isWaiting ? known?.waitingSince ?? now : undefined,
        needs: report.needs
            .filter(need => need.waiting > 0)
            .sort((a, b) => a.normalizedService - b.normalizedService || a.account - b.account),
        holdings: mergeHoldings(known, report),
    };
    const returned = countGranted(known) - countGranted(entry);
    const effects: LedgerEffect[] = returned > 0
        ? [{ type: "record", reason: "slot-returned", count: returned, entry: key }]
        : [];
    const state: PoolLedger = {
        ...ledger,
        sequence: ledger.sequence + 1,
        entries: { ...ledger.entries, [key]: entry },
    };
    // The counters of a first report cannot be compared with earlier ones, so they may count old responses.
    const observed = known && known.reportSequence > 0
        ? observeAnswers(state, known, report.holdings, now)
        : { state, effects: [] };
    return {
        state: renewLeases(observed.state, key, now, policy),
        effects: [...effects, ...observed.effects],
    };
}

function mergeHoldings(
    known: EntryState | undefined,
    report: Extract<LedgerEvent, { type: "demand"; }>["report"],
): EntryState["holdings"] {
    const holdings: Record<string, SlotHolding> = {};
    for (const target of new Set([...Object.keys(known?.holdings ?? {}), ...Object.keys(report.holdings)])) {
        const before = known?.holdings[target];
        const { held, inUse, coldAnswers, busyAnswers } = report.holdings[target] ?? NOTHING;
        // A report sent before the entry applied the newest change of its lease does not reflect that change.
        const isApplied = before === undefined || report.appliedSequence >= before.changedBy;
        const granted = isApplied ? Math.min(before?.granted ?? 0, held) : before.granted;
        const merged: SlotHolding = {
            granted,
            reserved: isApplied ? granted : before.reserved,
            changedBy: before?.changedBy ?? 0,
            deadline: before?.deadline ?? 0,
            inUse,
            lowInUse: Math.min(before?.lowInUse ?? 0, inUse),
            highInUse: Math.max(before?.highInUse ?? 0, before?.reserved ?? 0, inUse),
            coldAnswers,
            busyAnswers,
        };
        if (merged.reserved + merged.highInUse + coldAnswers + busyAnswers > 0) {
            holdings[target] = merged;
        }
    }
    return holdings;
}

function observeAnswers(
    ledger: PoolLedger,
    known: EntryState,
    holdings: Readonly<Record<string, ReportedHolding>>,
    now: number,
): LedgerResult {
    let state = ledger;
    const effects: LedgerEffect[] = [];
    for (const [target, reported] of Object.entries(holdings)) {
        const before = known.holdings[target] ?? NOTHING;
        const slots = state.targets[target];
        const isBusy = reported.busyAnswers > before.busyAnswers;
        const isNewlyCold = reported.coldAnswers > before.coldAnswers && slots?.load?.report.state === "warm";
        if (!slots?.load || (!isNewlyCold && !isBusy)) {
            continue;
        }
        const load = limitLoad(slots.load, isNewlyCold ? "cold" : "busy", slots.coldLimit, now);
        state = { ...state, targets: { ...state.targets, [target]: { ...slots, load } } };
        effects.push({
            type: "record",
            reason: isNewlyCold ? "target-cold" : "target-busy",
            count: 1,
            target,
        });
    }
    return { state, effects };
}

function renewLeases(ledger: PoolLedger, key: string, now: number, policy: LedgerPolicy): PoolLedger {
    const entry = ledger.entries[key];
    if (!entry) {
        return ledger;
    }
    const holdings: Record<string, SlotHolding> = {};
    for (const [target, holding] of Object.entries(entry.holdings)) {
        const lease = { target, entry: key, slots: holding.reserved };
        const deadline = holding.reserved > 0
            ? findCoveredDeadline(ledger, lease, now, now + policy.timings.termMs)
            : 0;
        holdings[target] = { ...holding, deadline: Math.max(holding.deadline, deadline) };
    }
    return { ...ledger, entries: { ...ledger.entries, [key]: { ...entry, holdings } } };
}

function countGranted(entry: EntryState | undefined): number {
    return Object.values(entry?.holdings ?? {}).reduce((sum, holding) => sum + holding.granted, 0);
}
