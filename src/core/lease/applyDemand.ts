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

const EMPTY_HOLDING: ReportedHolding = { held: 0, inUse: 0, coldAnswers: 0, busyAnswers: 0 };

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
    const previous = ledger.entries[key];
    const { report } = event;
    if (previous && report.sequence <= previous.reportSequence) {
        return { state: ledger, effects: [] };
    }
    const isWaiting = report.needs.some(need => need.waiting > 0);
    const entry: EntryState = {
        instance: event.instance,
        reportSequence: report.sequence,
        reportedAt: now,
        waitingSince: isWaiting ? previous?.waitingSince ?? now : undefined,
        needs: report.needs
            .filter(need => need.waiting > 0)
            .sort((a, b) => a.normalizedService - b.normalizedService || a.account - b.account),
        holdings: mergeHoldings(previous, report),
    };
    const returnedSlots = countGranted(previous) - countGranted(entry);
    const effects: LedgerEffect[] = returnedSlots > 0
        ? [{ type: "record", reason: "slot-returned", count: returnedSlots, entry: key }]
        : [];
    const state: PoolLedger = {
        ...ledger,
        sequence: ledger.sequence + 1,
        entries: { ...ledger.entries, [key]: entry },
    };
    // The counters of a first report cannot be compared with earlier ones, so they may count old responses.
    const observed = previous && previous.reportSequence > 0
        ? observeResponses(state, previous, report.holdings, now)
        : { state, effects: [] };
    return {
        state: renewLeases(observed.state, key, now, policy),
        effects: [...effects, ...observed.effects],
    };
}

function mergeHoldings(
    previousEntry: EntryState | undefined,
    report: Extract<LedgerEvent, { type: "demand"; }>["report"],
): EntryState["holdings"] {
    const holdings: Record<string, SlotHolding> = {};
    for (
        const target of new Set([
            ...Object.keys(previousEntry?.holdings ?? {}),
            ...Object.keys(report.holdings),
        ])
    ) {
        const previous = previousEntry?.holdings[target];
        const { held, inUse, coldAnswers, busyAnswers } = report.holdings[target] ?? EMPTY_HOLDING;
        // A report sent before the entry applied the newest change of its lease does not reflect that change.
        const isApplied = previous === undefined || report.appliedSequence >= previous.changeSequence;
        const granted = isApplied ? Math.min(previous?.granted ?? 0, held) : previous.granted;
        const merged: SlotHolding = {
            granted,
            reserved: isApplied ? granted : previous.reserved,
            changeSequence: previous?.changeSequence ?? 0,
            deadline: previous?.deadline ?? 0,
            inUse,
            minInUse: Math.min(previous?.minInUse ?? 0, inUse),
            maxInUse: Math.max(previous?.maxInUse ?? 0, previous?.reserved ?? 0, inUse),
            coldAnswers,
            busyAnswers,
        };
        if (merged.reserved + merged.maxInUse + coldAnswers + busyAnswers > 0) {
            holdings[target] = merged;
        }
    }
    return holdings;
}

function observeResponses(
    ledger: PoolLedger,
    previousEntry: EntryState,
    holdings: Readonly<Record<string, ReportedHolding>>,
    now: number,
): LedgerResult {
    let state = ledger;
    const effects: LedgerEffect[] = [];
    for (const [target, reported] of Object.entries(holdings)) {
        const previous = previousEntry.holdings[target] ?? EMPTY_HOLDING;
        const slots = state.targets[target];
        const isBusy = reported.busyAnswers > previous.busyAnswers;
        const isNewlyCold = reported.coldAnswers > previous.coldAnswers
            && slots?.load?.report.state === "warm";
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
