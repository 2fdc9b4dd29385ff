import type { CounterReplyValues } from "./counterReplyValues.js";
import type { CounterState } from "./counterState.js";
import { sumUnsettled } from "./sumUnsettled.js";

interface ReplySender {
    readonly instance: string;
    readonly incarnation: string;
}

/** Builds the reply to a child's report, with the totals of the requested accounts. */
export function buildCounterReply(
    state: CounterState,
    self: ReplySender,
    child: ReplySender,
    accounts: Iterable<number>,
): CounterReplyValues {
    const totals = new Map<number, number>();
    const unsettled = new Map<number, number>();
    const bases = new Map<number, number>();
    for (const account of accounts) {
        totals.set(account, Math.floor(state.totals.get(account) ?? 0));
        unsettled.set(account, Math.floor(sumUnsettled(state, account)));
        bases.set(account, Math.ceil(state.bases.get(account) ?? 0));
    }
    const childCounters = state.children.get(child.instance);
    return {
        instance: self.instance,
        incarnation: self.incarnation,
        acknowledgedSequence: childCounters?.incarnation === child.incarnation ? childCounters.sequence : 0,
        totals,
        unsettled,
        bases,
        lowest: state.lowest,
        highest: state.highest,
    };
}
