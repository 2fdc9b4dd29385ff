import type { CounterReportValues } from "../core/fairness/counterReportValues.js";
import type { CounterReport__Output } from "./generated/baobabspread/peer/CounterReport.js";

/**
 * Decodes the counters of a report. The incarnation that it addresses is only a hash in the message, so
 * `parentIncarnation` stays undefined and the calling code compares the hash.
 */
export function decodeCounterReport(message: CounterReport__Output): CounterReportValues {
    return {
        sequence: message.sequence,
        parentIncarnation: undefined,
        increments: new Map(message.accounts.map((account, index) => [account, message.tokens[index] ?? 0])),
        waiting: new Map(message.accounts.map((account, index) => [account, message.waiting[index] ?? 0])),
        totals: new Map(message.knownTotals.map(total => [total.account, total.tokens])),
        bases: new Map(message.knownTotals.map(total => [total.account, total.base])),
    };
}
