import { addCounters } from "./addCounters.js";
import type { CounterReportValues } from "./counterReportValues.js";
import type { CounterState } from "./counterState.js";
import { mergeHighest } from "./mergeHighest.js";

interface ReportSender {
    readonly instance: string;
    /** UUID version 7. */
    readonly incarnation: string;
    /** True if the increments are addressed to this incarnation of the receiver. */
    readonly isAddressed: boolean;
    /** Monotonic time in milliseconds after which the sender counts as inactive. */
    readonly expiresAt: number;
}

/**
 * Applies the report of a child. Increments of a sequence are added once; a repeated report only renews the
 * backlog. Totals are merged by maximum, which leaves them unchanged at a root that has not lost its totals.
 * Reports with an older incarnation or sequence are ignored.
 */
export function applyCounterReport(
    state: CounterState,
    sender: ReportSender,
    report: CounterReportValues,
): CounterState {
    const child = state.children.get(sender.instance);
    if (child !== undefined && child.incarnation > sender.incarnation) {
        return state;
    }
    const lastSequence = child?.incarnation === sender.incarnation ? child.sequence : 0;
    if (report.sequence < lastSequence) {
        return state;
    }
    const isNew = sender.isAddressed && report.sequence > lastSequence;
    return {
        ...state,
        totals: report.totals.size === 0 ? state.totals : mergeHighest(state.totals, report.totals),
        bases: report.bases.size === 0 ? state.bases : mergeHighest(state.bases, report.bases),
        pending: isNew ? addCounters(state.pending, report.increments) : state.pending,
        served: isNew ? addCounters(state.served, report.increments) : state.served,
        children: new Map(state.children).set(sender.instance, {
            incarnation: sender.incarnation,
            sequence: isNew ? report.sequence : lastSequence,
            waiting: report.waiting,
            expiresAt: sender.expiresAt,
        }),
    };
}
