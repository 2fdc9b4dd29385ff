import { hashName } from "../core/configuration/hashName.js";
import type { CounterReportValues } from "../core/fairness/counterReportValues.js";
import type { CounterReport__Output } from "./generated/baobabspread/peer/CounterReport.js";

/** Encodes the counters of a report. */
export function encodeCounterReport(report: CounterReportValues): Partial<CounterReport__Output> {
    const accounts = [...report.waiting.keys()];
    const known = new Set([...report.totals.keys(), ...report.bases.keys()]);
    return {
        sequence: report.sequence,
        parentIncarnation: report.parentIncarnation === undefined ? 0 : hashName(report.parentIncarnation),
        accounts,
        tokens: accounts.map(account => report.increments.get(account) ?? 0),
        waiting: accounts.map(account => report.waiting.get(account) ?? 0),
        knownTotals: [...known].map(account => ({
            account,
            tokens: report.totals.get(account) ?? 0,
            base: report.bases.get(account) ?? 0,
        })),
    };
}
