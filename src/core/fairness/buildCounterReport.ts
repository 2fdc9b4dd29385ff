import type { CounterBatch } from "./counterBatch.js";
import type { CounterReportValues } from "./counterReportValues.js";
import type { CounterState } from "./counterState.js";
import { sumWaiting } from "./sumWaiting.js";

/**
 * Builds the next report to a parent. A batch without a reply is repeated unchanged, so the parent recognizes it by
 * its sequence. The first report to a parent has no increments: they are sent only to a known incarnation, because
 * a restarted parent does not know what its previous incarnation forwarded.
 */
export function buildCounterReport(
    state: CounterState,
    parent: string,
    now: number,
): { readonly state: CounterState; readonly report: CounterReportValues; } {
    const incarnation = state.parentIncarnations.get(parent);
    const waiting = sumWaiting(state, now, parent);
    const isAttaching = incarnation === undefined || state.parent !== parent;
    const repeatedBatch = state.batches.find(batch => batch.parent === parent);
    const batch = incarnation === undefined ? undefined : repeatedBatch ?? createBatch(state, parent);
    const sequence = batch?.sequence ?? state.sequence + 1;
    const accounts = new Set([...waiting.keys(), ...batch?.increments.keys() ?? []]);
    return {
        state: batch === undefined || batch === repeatedBatch
            ? { ...state, sequence: Math.max(state.sequence, sequence) }
            : {
                ...state,
                sequence,
                batches: [...state.batches, batch],
                pending: removeCounters(state.pending, batch.increments),
            },
        report: {
            sequence,
            parentIncarnation: incarnation,
            increments: batch?.increments ?? new Map<number, number>(),
            waiting: new Map([...accounts].map(account => [account, waiting.get(account) ?? 0])),
            totals: isAttaching ? state.totals : new Map<number, number>(),
            bases: isAttaching ? state.bases : new Map<number, number>(),
        },
    };
}

function createBatch(state: CounterState, parent: string): CounterBatch | undefined {
    const increments = new Map<number, number>();
    for (const [account, tokens] of state.pending) {
        // Whole tokens need two to three bytes on the wire; the fraction stays for the next batch.
        if (tokens >= 1) {
            increments.set(account, Math.floor(tokens));
        }
    }
    return increments.size === 0 ? undefined : { sequence: state.sequence + 1, parent, increments };
}

function removeCounters(
    counters: ReadonlyMap<number, number>,
    decrements: ReadonlyMap<number, number>,
): ReadonlyMap<number, number> {
    const result = new Map<number, number>();
    for (const [account, tokens] of counters) {
        const remaining = tokens - (decrements.get(account) ?? 0);
        if (remaining > 0) {
            result.set(account, remaining);
        }
    }
    return result;
}
