import { computeGrantableSlots } from "./computeGrantableSlots.js";
import { findCoveredDeadline } from "./findCoveredDeadline.js";
import { isReporting } from "./isReporting.js";
import type { LedgerEffect } from "./ledgerEffect.js";
import type { LedgerPolicy } from "./ledgerPolicy.js";
import type { LedgerResult } from "./ledgerResult.js";
import { listUnservedNeeds } from "./listUnservedNeeds.js";
import type { PoolLedger } from "./poolLedger.js";
import { replaceHolding } from "./replaceHolding.js";
import type { SlotCandidate } from "./slotCandidate.js";
import { sumUnusedSlots } from "./sumUnusedSlots.js";

/**
 * Grants free slots one by one to the neediest account. When no request waits for a slot any more, `activeEntry` gets
 * as many slots ahead of its demand as the policy allows.
 *
 * @param activeEntry Key of the entry whose demand report is being applied; `undefined` for other events.
 */
export function grantSlots(
    ledger: PoolLedger,
    activeEntry: string | undefined,
    now: number,
    policy: LedgerPolicy,
): LedgerResult {
    if (ledger.recovery) {
        return { state: ledger, effects: [] };
    }
    const free = collectFreeSlots(ledger, now, policy);
    if (free.size === 0) {
        return { state: ledger, effects: [] };
    }
    const sequence = ledger.sequence + 1;
    const granted = new Map<string, number>();
    let state: PoolLedger = { ...ledger, sequence };
    const grant = (entry: string): boolean => {
        const next = grantOne(state, entry, free, now, policy);
        if (next) {
            state = next;
            granted.set(entry, (granted.get(entry) ?? 0) + 1);
        }
        return next !== undefined;
    };
    const candidates = collectCandidates(state, now, policy);
    while (free.size > 0 && candidates.size > 0) {
        const neediest = policy.pickNeediest([...candidates.values()]);
        if (!neediest) {
            break;
        }
        const entry = grant(neediest.entry) ? state.entries[neediest.entry] : undefined;
        const candidate = entry && makeCandidate(neediest.entry, state);
        if (candidate) {
            candidates.set(neediest.entry, candidate);
        }
        else {
            candidates.delete(neediest.entry);
        }
    }
    while (activeEntry !== undefined && isGrantAheadAllowed(state, activeEntry, free, policy)) {
        if (!grant(activeEntry)) {
            break;
        }
    }
    if (granted.size === 0) {
        return { state: ledger, effects: [] };
    }
    const effects = [...granted].flatMap(([entry, count]): LedgerEffect[] => [
        { type: "push", entry },
        { type: "record", reason: "slot-granted", count, entry },
    ]);
    return { state, effects };
}

function collectFreeSlots(ledger: PoolLedger, now: number, policy: LedgerPolicy): Map<string, number> {
    const free = new Map<string, number>();
    for (const target of Object.keys(ledger.targets)) {
        const count = computeGrantableSlots(ledger, target, now, policy.timings);
        if (count > 0) {
            free.set(target, count);
        }
    }
    return free;
}

function collectCandidates(
    ledger: PoolLedger,
    now: number,
    policy: LedgerPolicy,
): Map<string, SlotCandidate> {
    const candidates = new Map<string, SlotCandidate>();
    for (const [key, entry] of Object.entries(ledger.entries)) {
        const candidate = isReporting(entry, now, policy.timings) ? makeCandidate(key, ledger) : undefined;
        if (candidate) {
            candidates.set(key, candidate);
        }
    }
    return candidates;
}

function makeCandidate(key: string, ledger: PoolLedger): SlotCandidate | undefined {
    const entry = ledger.entries[key];
    const need = entry && listUnservedNeeds(entry)[0];
    return entry && need && {
        entry: key,
        account: need.account,
        normalizedService: need.normalizedService,
        heldSlots: Object.values(entry.holdings).reduce((sum, holding) => sum + holding.granted, 0),
        waitingSince: entry.waitingSince ?? entry.reportedAt,
    };
}

function grantOne(
    ledger: PoolLedger,
    key: string,
    free: Map<string, number>,
    now: number,
    policy: LedgerPolicy,
): PoolLedger | undefined {
    const entry = ledger.entries[key];
    if (!entry) {
        return undefined;
    }
    // Taking targets with the most free slots first spreads the load.
    for (const [target, count] of [...free].sort((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1))) {
        const holding = entry.holdings[target];
        const slots = Math.max(holding?.granted ?? 0, holding?.inUse ?? 0) + 1;
        const reserved = Math.max(slots, holding?.reserved ?? 0);
        const deadline = findCoveredDeadline(
            ledger,
            { target, entry: key, slots: reserved },
            now,
            entry.reportedAt + policy.timings.termMs,
        );
        // All slots of a lease share one deadline, and a lease in force cannot be shortened.
        if (deadline <= now || deadline < (holding?.deadline ?? 0)) {
            continue;
        }
        if (count > 1) {
            free.set(target, count - 1);
        }
        else {
            free.delete(target);
        }
        const change = { granted: slots, reserved, changeSequence: ledger.sequence, deadline };
        return replaceHolding(ledger, key, target, change);
    }
    return undefined;
}

function isGrantAheadAllowed(
    ledger: PoolLedger,
    key: string,
    free: ReadonlyMap<string, number>,
    policy: LedgerPolicy,
): boolean {
    const entry = ledger.entries[key];
    if (!entry) {
        return false;
    }
    const waiting = entry.needs.reduce((sum, need) => sum + need.waiting, 0);
    const isBusy = waiting > 0 || Object.values(entry.holdings).some(holding => holding.inUse > 0);
    const freeSlots = [...free.values()].reduce((sum, count) => sum + count, 0);
    const isSomeoneWaiting = Object.values(ledger.entries).some(other => listUnservedNeeds(other).length > 0);
    // The owner keeps the last free slots, so that it can grant them to any entry at once.
    return isBusy && !isSomeoneWaiting && freeSlots > policy.maxUnusedSlots
        && sumUnusedSlots(entry) - waiting < policy.maxUnusedSlots;
}
