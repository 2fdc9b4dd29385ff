import type { CounterReportValues } from "../core/fairness/counterReportValues.js";
import type { CounterReport__Output } from "./generated/baobabspread/peer/CounterReport.js";

/**
 * Returns the counters of a report. The incarnation that it is meant for stays a hash in the message, so the
 * caller compares that.
 */
export function decodeCounterReport(message: CounterReport__Output): CounterReportValues {
    return {
        sequence: message.sequence,
        parentIncarnation: undefined,
        increments: new Map(message.accounts.map((account, index) => [account, message.tokens[index] ?? 0])),
        waiting: new Map(message.accounts.map((account, index) => [account, message.waiting[index] ?? 0])),
        known: new Map(message.knownTotals.map(total => [total.account, total.tokens])),
        bases: new Map(message.knownTotals.map(total => [total.account, total.base])),
    };
}
