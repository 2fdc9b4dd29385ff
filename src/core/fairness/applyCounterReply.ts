import { addCounters } from "./addCounters.js";
import type { CounterReplyValues } from "./counterReplyValues.js";
import type { CounterState } from "./counterState.js";
import { mergeHighest } from "./mergeHighest.js";

/**
 * Applies the reply to a counter report. A receiver with a new incarnation has lost what the old one did not
 * forward, and it is unknown which batches those were, so the batches for the old incarnation are dropped: a crash
 * loses at most one exchange interval, and nothing is counted twice. A receiver that is stopping neither adds nor
 * acknowledges increments; its batch returns to the pending counters and goes to the next parent.
 *
 * @param isParent False for a former parent, whose reply only settles an old batch.
 */
export function applyCounterReply(
    state: CounterState,
    reply: CounterReplyValues,
    isParent: boolean,
): CounterState {
    const previous = state.parentIncarnations.get(reply.instance);
    const isRestarted = previous !== undefined && previous !== reply.incarnation;
    const unacknowledged = isRestarted
        ? undefined
        : state.batches.find(batch =>
            batch.parent === reply.instance && batch.sequence > reply.acknowledgedSequence
        );
    const settled = {
        ...state,
        pending: unacknowledged ? addCounters(state.pending, unacknowledged.increments) : state.pending,
        totals: mergeHighest(state.totals, reply.totals),
        bases: mergeHighest(state.bases, reply.bases),
        batches: state.batches.filter(batch => batch.parent !== reply.instance),
        parentIncarnations: new Map(state.parentIncarnations).set(reply.instance, reply.incarnation),
    };
    if (!isParent) {
        return settled;
    }
    return {
        ...settled,
        unsettled: new Map([...state.unsettled, ...reply.unsettled]),
        // The node attaches to a restarted parent again, so that the parent receives the totals.
        parent: isRestarted ? undefined : reply.instance,
        lowest: reply.lowest,
        highest: reply.highest,
        level: reply.lowest ?? state.level,
        collectUntil: undefined,
    };
}
