import type { ModelMessage } from "./modelMessage.js";
import type { ModelState } from "./modelState.js";

/** Delivers a lease state to its entry, which ignores it if it is old or for another incarnation. */
export function receiveLeaseState(
    state: ModelState,
    message: Extract<ModelMessage, { type: "toEntry"; }>,
): ModelState {
    const entry = state.entries[message.entry];
    const isOld = entry?.applied?.owner === message.owner && message.sequence <= entry.applied.sequence;
    if (entry?.incarnation !== message.incarnation || isOld) {
        return state;
    }
    const isCurrent = message.reportSequence >= entry.sequence;
    const changed = {
        ...entry,
        applied: { owner: message.owner, sequence: message.sequence },
        slots: isCurrent ? message.slots : Math.min(message.slots, entry.kept),
        deadline: message.deadline,
    };
    return {
        ...state,
        entries: state.entries.map((other, index) => index === message.entry ? changed : other),
    };
}
