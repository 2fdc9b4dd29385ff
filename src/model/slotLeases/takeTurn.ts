import type { DemandState } from "../../core/lease/demandState.js";
import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import { applyOwnerEvent } from "./applyOwnerEvent.js";
import type { ModelEvent } from "./modelEvent.js";
import type { ModelOptions } from "./modelOptions.js";
import type { ModelState } from "./modelState.js";
import { receiveLeaseState } from "./receiveLeaseState.js";
import { replaceEntry } from "./replaceEntry.js";
import { targetName } from "./targetName.js";

/** Applies the turn of an entry, which may report to its owner and then start or finish a request. */
export function takeTurn(
    state: ModelState,
    event: Extract<ModelEvent, { type: "turn"; }>,
    options: ModelOptions,
): ModelState {
    const isFault = event.work === "check" || (event.report && event.report.transfer !== "arrives");
    const before = isFault ? { ...state, faults: state.faults - 1 } : state;
    const reported = event.report ? sendReport(before, event.entry, event.report, options) : before;
    return replaceEntry(reported, event.entry, entry => {
        const canStart = entry.inUse < entry.slots && entry.deadline > 0;
        switch (event.work) {
            case "start":
                return { inUse: entry.inUse + (canStart ? 1 : 0) };
            case "check":
                return canStart ? { checkedAt: 0 } : {};
            case "write":
                return { inUse: entry.inUse + 1, checkedAt: undefined };
            case "finish":
                return { inUse: entry.inUse - 1 };
            case undefined:
                return {};
        }
    });
}

function sendReport(
    state: ModelState,
    index: number,
    event: NonNullable<Extract<ModelEvent, { type: "turn"; }>["report"]>,
    options: ModelOptions,
): ModelState {
    const entry = state.entries[index];
    if (!entry) {
        return state;
    }
    const { owner } = entry;
    const sequence = entry.sequence + 1;
    const held = event.isReturning ? entry.inUse : entry.slots;
    const report: DemandState = {
        sequence,
        appliedSequence: entry.applied?.owner === owner ? entry.applied.sequence : 0,
        needs: event.isReturning ? [] : [{ account: index, waiting: 1, normalizedService: 1 }],
        holdings: { [targetName]: { held, inUse: entry.inUse, coldAnswers: 0, busyAnswers: 0 } },
    };
    const demand: LedgerEvent = {
        type: "demand",
        instance: String(index),
        incarnation: String(entry.incarnation),
        report,
    };
    const sent = replaceEntry(
        state,
        index,
        () => ({ sequence, slots: held, kept: held }),
    );
    if (event.transfer === "reportDelayed") {
        return { ...sent, delayed: { type: "toOwner", owner, event: demand } };
    }
    const result = applyOwnerEvent(sent, owner, demand, options);
    if (event.transfer === "lost") {
        return result.state;
    }
    const late = { replyDelayed: 0, pushDelayed: 1, arrives: -1 }[event.transfer];
    const delayed = result.messages[late] ?? result.state.delayed;
    return result.messages
        .filter((_, index) => index !== late)
        .reduce(receiveLeaseState, { ...result.state, delayed });
}
