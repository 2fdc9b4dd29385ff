import type { EntryState } from "../../core/lease/entryState.js";
import type { PoolLedger } from "../../core/lease/poolLedger.js";
import type { SlotLoan } from "../../core/lease/slotLoan.js";
import type { TargetSlots } from "../../core/lease/targetSlots.js";
import type { ModelState } from "./modelState.js";

type Json = string | number | boolean | null | undefined | readonly Json[] | {
    readonly [key: string]: Json;
};

/**
 * Returns the canonical form of a state: drops what cannot be observed, replaces sequence numbers by their
 * ranks, because the protocol only compares them, and sorts keys.
 */
export function normalizeState(given: ModelState): ModelState {
    const state = dropUnobservable(given);
    const stateRanks = new Map<string, ReadonlyMap<number, number>>();
    const owners = new Set(["a", "b", ...Object.keys(state.owners)]);
    for (const owner of owners) {
        const ledger = state.owners[owner];
        const values = [
            ledger?.sequence,
            ...Object.values(ledger?.entries ?? {}).flatMap(entry =>
                Object.values(entry.holdings).map(holding => holding.changeSequence)
            ),
            ...state.entries.map(entry =>
                entry.applied?.owner === owner ? entry.applied.sequence : undefined
            ),
            ...listMessageSequences(state, owner),
        ];
        stateRanks.set(owner, rankValues(values));
    }
    const reportRanks = new Map(
        listEntryKeys(state).map(key => [key, rankValues(listReportSequences(state, key))]),
    );
    const getStateRank = (owner: string, value: number): number => stateRanks.get(owner)?.get(value) ?? 0;
    const getReportRank = (key: string, value: number): number => reportRanks.get(key)?.get(value) ?? 0;
    const normalized: ModelState = {
        ...state,
        owners: Object.fromEntries(
            Object.entries(state.owners).map(([owner, ledger]) => [owner, {
                ...ledger,
                targets: Object.fromEntries(
                    Object.entries(ledger.targets).map(([target, slots]) => [
                        target,
                        normalizeTarget(slots),
                    ]),
                ),
                loans: Object.fromEntries(
                    Object.entries(ledger.loans)
                        .filter(([, loan]) => loan.deadline > 0)
                        .map(([lender, loan]) => [lender, normalizeLoan(loan, ledger)]),
                ),
                sequence: getStateRank(owner, ledger.sequence),
                entries: Object.fromEntries(
                    Object.entries(ledger.entries).map(([key, entry]) => [key, {
                        ...entry,
                        reportSequence: getReportRank(key, entry.reportSequence),
                        // Only compared by policies that the model does not use.
                        waitingSince: undefined,
                        holdings: Object.fromEntries(
                            Object.entries(entry.holdings).map(([target, holding]) => [target, {
                                ...holding,
                                // Without reserved slots the report time decides, so all past deadlines are equivalent.
                                deadline: holding.reserved > 0
                                    ? holding.deadline
                                    : Math.max(0, holding.deadline),
                                changeSequence: holding.reserved + holding.granted > 0
                                    ? getStateRank(owner, holding.changeSequence)
                                    : 0,
                            }]),
                        ),
                    }]),
                ),
            }]),
        ),
        entries: state.entries.map((entry, index) => ({
            ...entry,
            // An expired lease is equivalent to none.
            slots: entry.deadline > 0 ? entry.slots : 0,
            deadline: Math.max(0, entry.deadline),
            sequence: getReportRank(`${index}/${entry.incarnation}`, entry.sequence),
            applied: entry.applied && {
                owner: entry.applied.owner,
                sequence: getStateRank(entry.applied.owner, entry.applied.sequence),
            },
        })),
        delayed: normalizeMessage(state, getStateRank, getReportRank),
    };
    return sortKeys(normalized as unknown as Json) as unknown as ModelState;
}

function listMessageSequences(state: ModelState, owner: string): readonly (number | undefined)[] {
    const { delayed } = state;
    if (delayed?.owner !== owner) {
        return [];
    }
    if (delayed.type === "toEntry") {
        return [delayed.sequence];
    }
    return delayed.event.type === "demand" ? [delayed.event.report.appliedSequence] : [];
}

/** Removes state that no later event can observe. */
function dropUnobservable(state: ModelState): ModelState {
    const { delayed } = state;
    const owners = Object.fromEntries(
        Object.entries(state.owners).map(([owner, ledger]) => [owner, {
            ...ledger,
            entries: Object.fromEntries(
                Object.entries(ledger.entries).flatMap(([key, entry]): [string, EntryState][] => {
                    const isSilent = entry.reportSequence === 0 || entry.reportedAt < -1;
                    const holdings = Object.entries(entry.holdings);
                    const isEmpty = holdings.every(([, { reserved, inUse }]) => reserved + inUse === 0);
                    return isSilent && isEmpty && !delayed ? [] : [[key, {
                        ...entry,
                        needs: isSilent ? [] : entry.needs,
                    }]];
                }),
            ),
        }]),
    );
    const entries = state.entries.map((entry, index) => {
        const key = `${index}/${entry.incarnation}`;
        const isCurrent = Object.values(owners).every(ledger =>
            (ledger.entries[key]?.reportSequence ?? entry.sequence) === entry.sequence
        );
        const isKnown = entry.applied !== undefined && entry.applied.owner in owners;
        return {
            ...entry,
            applied: isKnown || delayed ? entry.applied : undefined,
            // Only limits lease states that do not take the last report into account.
            kept: isCurrent && !delayed ? 0 : entry.kept,
        };
    });
    return { ...state, owners, entries };
}

function normalizeTarget(slots: TargetSlots): TargetSlots {
    const load = slots.load && {
        ...slots.load,
        // Whether a loan began before the request for the report is encoded in its `since`.
        requestedAt: -1,
        report: { ...slots.load.report, measuredAtMs: 0, running: 0 },
    };
    return { ...slots, load, uncertainSince: slots.uncertainSince === undefined ? undefined : 0 };
}

function normalizeLoan(loan: SlotLoan, ledger: PoolLedger): SlotLoan {
    const since = Object.entries(loan.since).map(([target, start]) => {
        const requestedAt = ledger.targets[target]?.load?.requestedAt;
        return [target, requestedAt !== undefined && requestedAt >= start ? -1 : 0] as const;
    });
    return { ...loan, since: Object.fromEntries(since) };
}

function listEntryKeys(state: ModelState): readonly string[] {
    return [
        ...Object.values(state.owners).flatMap(ledger => Object.keys(ledger.entries)),
        ...state.entries.map((entry, index) => `${index}/${entry.incarnation}`),
    ];
}

function listReportSequences(state: ModelState, key: string): readonly (number | undefined)[] {
    const { delayed } = state;
    const values = Object.values(state.owners).map(ledger => ledger.entries[key]?.reportSequence);
    const current = state.entries.find((entry, index) => `${index}/${entry.incarnation}` === key);
    if (delayed?.type === "toEntry" && `${delayed.entry}/${delayed.incarnation}` === key) {
        return [...values, current?.sequence, delayed.reportSequence];
    }
    const event = delayed?.type === "toOwner" ? delayed.event : undefined;
    if (event?.type === "demand" && `${event.instance}/${event.incarnation}` === key) {
        return [...values, current?.sequence, event.report.sequence];
    }
    return [...values, current?.sequence];
}

function normalizeMessage(
    state: ModelState,
    getStateRank: (owner: string, value: number) => number,
    getReportRank: (key: string, value: number) => number,
): ModelState["delayed"] {
    const { delayed } = state;
    if (delayed?.type === "toEntry") {
        return {
            ...delayed,
            sequence: getStateRank(delayed.owner, delayed.sequence),
            reportSequence: getReportRank(`${delayed.entry}/${delayed.incarnation}`, delayed.reportSequence),
        };
    }
    if (delayed?.event.type !== "demand") {
        return delayed;
    }
    const { report, instance, incarnation } = delayed.event;
    return {
        ...delayed,
        event: {
            ...delayed.event,
            report: {
                ...report,
                sequence: getReportRank(`${instance}/${incarnation}`, report.sequence),
                appliedSequence: getStateRank(delayed.owner, report.appliedSequence),
            },
        },
    };
}

function rankValues(values: readonly (number | undefined)[]): ReadonlyMap<number, number> {
    const sorted = [...new Set([0, ...values.filter(value => value !== undefined)])].sort((a, b) => a - b);
    return new Map(sorted.map((value, rank) => [value, rank]));
}

function sortKeys(value: Json): Json {
    if (Array.isArray(value)) {
        return value.map(item => sortKeys(item as Json));
    }
    if (typeof value !== "object" || value === null) {
        return value;
    }
    return Object.fromEntries(
        Object.entries(value)
            .filter(([, item]) => item !== undefined)
            .sort(([a], [b]) => a < b ? -1 : 1)
            .map(([key, item]) => [key, sortKeys(item)]),
    );
}
