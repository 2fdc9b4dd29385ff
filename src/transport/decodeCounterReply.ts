import type { CounterReplyValues } from "../core/fairness/counterReplyValues.js";
import type { CounterReportValues } from "../core/fairness/counterReportValues.js";
import type { CounterReply__Output } from "./generated/baobabspread/peer/CounterReply.js";

/**
 * Decodes the counters of a reply.
 *
 * @param receiver Instance that replied.
 * @param report Report that it replied to. A reply without an incarnation is from the one that the report addresses.
 */
export function decodeCounterReply(
    message: CounterReply__Output,
    receiver: string,
    report: CounterReportValues,
): CounterReplyValues {
    const accounts = [...report.waiting.keys()];
    return {
        instance: receiver,
        incarnation: message.incarnation === "" ? report.parentIncarnation ?? "" : message.incarnation,
        acknowledgedSequence: message.acknowledgedSequence,
        totals: mapAccounts(accounts, message.tokens),
        unsettled: mapAccounts(accounts, message.unsettled),
        bases: mapAccounts(accounts, message.bases),
        lowest: message.lowestBacklogged < 0 ? undefined : message.lowestBacklogged,
        highest: message.highestBacklogged < 0 ? undefined : message.highestBacklogged,
    };
}

function mapAccounts(accounts: readonly number[], values: readonly number[]): ReadonlyMap<number, number> {
    return new Map(accounts.map((account, index) => [account, values[index] ?? 0]));
}
