import { isLedgerIdle } from "../../core/lease/isLedgerIdle.js";
import type { ModelEntry } from "./modelEntry.js";
import type { ModelEvent } from "./modelEvent.js";
import type { ModelOptions } from "./modelOptions.js";
import type { ModelState } from "./modelState.js";

/** Lists the events enabled in a state of the slot lease model. */
export function listModelEvents(state: ModelState, options: ModelOptions): readonly ModelEvent[] {
    if (state.phase === 0) {
        return listEnvironmentEvents(state, options);
    }
    const index = state.phase - 1;
    const entry = state.entries[index];
    return entry ? listTurns(state, index, entry, options) : [];
}

function listEnvironmentEvents(state: ModelState, options: ModelOptions): readonly ModelEvent[] {
    const hasFault = state.faults > 0;
    const events: ModelEvent[] = [];
    const isSplit = state.adopted.includes(true) && state.adopted.includes(false);
    if (state.ticks > 0 && (!isSplit || state.skew < options.maxSkew)) {
        events.push(...listTicks(state, hasFault));
    }
    if (!state.isWarm && options.coldLimit < options.slotLimit) {
        events.push({ type: "warmUp" });
    }
    if (state.orphans > 0) {
        events.push({ type: "orphanEnds" });
    }
    if (state.delayed) {
        events.push({ type: "deliver" }, { type: "drop" });
    }
    if (!("b" in state.owners) && state.takeovers > 0) {
        events.push({ type: "takeover", transfer: "arrives" });
        if (hasFault) {
            events.push({ type: "takeover", transfer: "lost" });
        }
    }
    for (const [lender, { loan }] of state.lenders.entries()) {
        if (hasFault && loan) {
            events.push({ type: "restartLender", lender });
        }
        if (!state.adopted[lender] && (hasFault || state.adopted.includes(true))) {
            events.push({ type: "adoptList", lender });
        }
    }
    for (const [owner, ledger] of Object.entries(state.owners)) {
        if (isLedgerIdle(ledger, 0, options.timings.marginMs) && Object.keys(ledger.loans).length > 0) {
            events.push({ type: "release", owner });
        }
    }
    for (const [entry, { owner }] of state.entries.entries()) {
        if (entry === 1 && owner === "a" && "b" in state.owners) {
            events.push({ type: "switchOwner", entry });
        }
    }
    // The entries are alike except for the order of their turns, so faults of the first are enough.
    if (hasFault && state.entries[0]?.incarnation === 0 && state.entries[0].checkedAt === undefined) {
        events.push({ type: "crash", entry: 0 });
    }
    return events;
}

function listTicks(state: ModelState, hasFault: boolean): readonly ModelEvent[] {
    const names = Object.keys(state.owners);
    const orders = [[], ...names.map(name => [name]), ...(names.length > 1 ? [names] : [])];
    return orders.flatMap((owners): ModelEvent[] => {
        const arrives: ModelEvent = { type: "tick", owners, transfer: "arrives" };
        if (!hasFault || owners.length === 0) {
            return [arrives];
        }
        const lost: ModelEvent = { type: "tick", owners, transfer: "lost" };
        return state.delayed
            ? [arrives, lost]
            : [arrives, lost, { type: "tick", owners, transfer: "delayed" }];
    });
}

type Turn = Extract<ModelEvent, { type: "turn"; }>;

function listTurns(
    state: ModelState,
    entry: number,
    member: ModelEntry,
    options: ModelOptions,
): readonly Turn[] {
    // The second entry only competes for slots: it has no faults and never returns slots or finishes a request.
    const isFirst = entry === 0;
    const hasFault = state.faults > 0 && isFirst;
    if (member.checkedAt !== undefined) {
        // A process paused after its deadline check sends no report, and writes within the margin.
        const write: Turn = { type: "turn", entry, report: undefined, work: "write" };
        const isDue = member.checkedAt <= -options.timings.marginMs;
        return isDue ? [write] : [write, { ...write, work: undefined }];
    }
    const reports = [undefined, ...listReports(state, member, hasFault, isFirst)];
    const works: readonly Turn["work"][] = [
        undefined,
        "start",
        ...(isFirst && member.inUse > 0 ? ["finish"] as const : []),
        ...(hasFault ? ["check"] as const : []),
    ];
    return reports.flatMap(report =>
        works
            .filter(work => !(work === "check" && report && report.transfer !== "arrives"))
            .map((work): Turn => ({ type: "turn", entry, report, work }))
    );
}

function listReports(
    state: ModelState,
    member: ModelEntry,
    hasFault: boolean,
    mayReturn: boolean,
): readonly NonNullable<Turn["report"]>[] {
    if (!(member.owner in state.owners)) {
        return [];
    }
    const transfers: readonly NonNullable<Turn["report"]>["transfer"][] = [
        "arrives",
        ...(hasFault ? ["lost"] as const : []),
        ...(hasFault && !state.delayed ? ["replyDelayed", "pushDelayed", "reportDelayed"] as const : []),
    ];
    const canReturn = mayReturn && member.slots > member.inUse;
    return transfers.flatMap(transfer => [
        { isReturning: false, transfer },
        ...(canReturn && (transfer === "arrives" || transfer === "reportDelayed")
            ? [{ isReturning: true, transfer }]
            : []),
    ]);
}
