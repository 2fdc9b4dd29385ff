import { applyLenderEvent } from "../../core/lease/applyLenderEvent.js";
import { createLedger } from "../../core/lease/createLedger.js";
import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import type { LenderEvent } from "../../core/lease/lenderEvent.js";
import type { LoanReply } from "../../core/lease/loanReply.js";
import { advanceTime } from "./advanceTime.js";
import { applyOwnerEvent } from "./applyOwnerEvent.js";
import { makeHoldingsEvent } from "./makeHoldingsEvent.js";
import { makeLoadEvent } from "./makeLoadEvent.js";
import type { ModelEvent } from "./modelEvent.js";
import type { ModelOptions } from "./modelOptions.js";
import type { ModelState } from "./modelState.js";
import { receiveLeaseState } from "./receiveLeaseState.js";
import { replaceEntry } from "./replaceEntry.js";
import { takeTurn } from "./takeTurn.js";
import { targetName } from "./targetName.js";

/** Applies an event to the slot lease model; the caller normalises the result. */
export function applyModelEvent(state: ModelState, event: ModelEvent, options: ModelOptions): ModelState {
    const next = applyEvent(state, event, options);
    const isTurnOver = state.phase > 0 || event.type === "tick";
    return isTurnOver ? { ...next, phase: (state.phase + 1) % (state.entries.length + 1) } : next;
}

function applyEvent(state: ModelState, event: ModelEvent, options: ModelOptions): ModelState {
    const failed = { ...state, faults: state.faults - 1 };
    switch (event.type) {
        case "tick":
            return advanceTick(event.transfer === "arrives" ? state : failed, event, options);
        case "warmUp":
            return { ...state, isWarm: true };
        case "orphanEnds":
            return { ...state, orphans: state.orphans - 1 };
        case "drop":
            return { ...state, delayed: undefined };
        case "deliver":
            return receiveDelayed(state, options);
        case "takeover":
            return addOwner(event.transfer === "arrives" ? state : failed, event.transfer, options);
        case "restartLender":
            return resetLender(failed, event.lender, options);
        case "adoptList":
            return adoptList(state.adopted.includes(true) ? state : failed, event.lender, options);
        case "release":
            return releaseSlots(state, event.owner, options);
        case "turn":
            return takeTurn(state, event, options);
        case "switchOwner":
            return replaceEntry(state, event.entry, () => ({ owner: "b" }));
        case "crash": {
            const orphans = failed.orphans + (failed.entries[event.entry]?.inUse ?? 0);
            return replaceEntry({ ...failed, orphans }, event.entry, entry => ({
                incarnation: entry.incarnation + 1,
                sequence: 0,
                applied: undefined,
                slots: 0,
                deadline: 0,
                inUse: 0,
                kept: 0,
            }));
        }
    }
}

function handleOwnerEvent(
    state: ModelState,
    owner: string,
    event: LedgerEvent,
    options: ModelOptions,
): ModelState {
    const result = applyOwnerEvent(state, owner, event, options);
    return result.messages.reduce(receiveLeaseState, result.state);
}

function receiveDelayed(state: ModelState, options: ModelOptions): ModelState {
    const { delayed } = state;
    const rest = { ...state, delayed: undefined };
    if (!delayed) {
        return rest;
    }
    return delayed.type === "toEntry"
        ? receiveLeaseState(rest, delayed)
        : handleOwnerEvent(rest, delayed.owner, delayed.event, options);
}

function addOwner(
    state: ModelState,
    transfer: "arrives" | "lost",
    options: ModelOptions,
): ModelState {
    // As in production, an incarnation that takes over the pool again continues its sequence.
    const sequences = [
        0,
        ...state.entries.map(entry => entry.applied?.owner === "b" ? entry.applied.sequence : 0),
        state.delayed?.type === "toEntry" && state.delayed.owner === "b" ? state.delayed.sequence : 0,
    ];
    const pending = state.entries.map((_, index) => String(index));
    const ledger = createLedger(2, Math.max(...sequences), options.timings.termMs, pending);
    const { slotLimit, coldLimit } = options;
    const configure: LedgerEvent = {
        type: "configure",
        targets: { [targetName]: { slotLimit, coldLimit, inService: true } },
    };
    const owners = { ...state.owners, b: ledger };
    const created = handleOwnerEvent(
        { ...state, owners, takeovers: state.takeovers - 1 },
        "b",
        configure,
        options,
    );
    const answering = transfer === "lost" ? [] : [...state.entries.keys()];
    return answering.reduce(
        (next, entry) => handleOwnerEvent(next, "b", makeHoldingsEvent(next, entry), options),
        created,
    );
}

function applyToLender(
    state: ModelState,
    index: number,
    event: LenderEvent,
    options: ModelOptions,
): { readonly state: ModelState; readonly reply: LoanReply | undefined; } {
    const lender = state.lenders[index];
    if (!lender) {
        return { state, reply: undefined };
    }
    const result = applyLenderEvent(lender, event, 0, options.lenderTimings);
    const lenders = state.lenders.map((other, position) => position === index ? result.state : other);
    return { state: { ...state, lenders }, reply: result.reply };
}

function makeAssignment(state: ModelState, lender: number): LenderEvent {
    const isLender = state.adopted[lender] ? lender === 1 : lender === 0;
    return { type: "assign", index: isLender ? 0 : -1, count: isLender ? 1 : 0, from: 0 };
}

function resetLender(state: ModelState, lender: number, options: ModelOptions): ModelState {
    const lenders = state.lenders.map((other, index) =>
        index === lender ? { assignments: [], loan: undefined } : other
    );
    return applyToLender({ ...state, lenders }, lender, makeAssignment(state, lender), options).state;
}

function adoptList(state: ModelState, lender: number, options: ModelOptions): ModelState {
    const adopted = state.adopted.map((value, index) => value || index === lender);
    const next = { ...state, adopted };
    return applyToLender(next, lender, makeAssignment(next, lender), options).state;
}

function advanceTick(
    state: ModelState,
    event: Extract<ModelEvent, { type: "tick"; }>,
    options: ModelOptions,
): ModelState {
    const isSplit = state.adopted.includes(true) && state.adopted.includes(false);
    const next = { ...advanceTime(state), skew: isSplit ? state.skew + 1 : 0, ticks: state.ticks - 1 };
    return event.owners.reduce<ModelState>(
        (current, owner, index) =>
            runRound(current, owner, index === 0 ? event.transfer : "arrives", options),
        next,
    );
}

function runRound(
    state: ModelState,
    owner: string,
    transfer: Extract<ModelEvent, { type: "tick"; }>["transfer"],
    options: ModelOptions,
): ModelState {
    let next = state;
    for (const lender of state.lenders.keys()) {
        const limits = { [targetName]: options.slotLimit };
        const result = applyToLender(next, lender, { type: "borrow", owner, limits }, options);
        next = result.state;
        if (result.reply?.reason !== "granted" || transfer === "lost") {
            continue;
        }
        const { slots, deadline } = result.reply;
        const loan: LedgerEvent = { type: "loan", lender: String(lender), slots, deadline };
        next = transfer === "delayed"
            ? { ...next, delayed: { type: "toOwner", owner, event: loan } }
            : handleOwnerEvent(next, owner, loan, options);
    }
    return handleOwnerEvent(next, owner, makeLoadEvent(next, options), options);
}

function releaseSlots(state: ModelState, owner: string, options: ModelOptions): ModelState {
    const owners = Object.fromEntries(Object.entries(state.owners).filter(([name]) => name !== owner));
    return [...state.lenders.keys()].reduce<ModelState>(
        (current, lender) => applyToLender(current, lender, { type: "release", owner }, options).state,
        { ...state, owners },
    );
}
