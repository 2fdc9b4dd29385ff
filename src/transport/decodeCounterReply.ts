import type { CounterReplyValues } from "../core/fairness/counterReplyValues.js";
import type { CounterReply__Output } from "./generated/baobabspread/peer/CounterReply.js";

/**
 * Returns the counters of a reply.
 *
 * @param accounts Accounts of the report in the order in which it listed them.
 */
export function decodeCounterReply(
    message: CounterReply__Output,
    accounts: readonly number[],
): CounterReplyValues {
    return {
        instance: message.instance,
        incarnation: message.incarnation,
        acknowledgedSequence: message.acknowledgedSequence,
        tokens: mapAccounts(accounts, message.tokens),
        unsettled: mapAccounts(accounts, message.unsettled),
        bases: mapAccounts(accounts, message.bases),
        lowest: message.lowestBacklogged < 0 ? undefined : message.lowestBacklogged,
        highest: message.highestBacklogged < 0 ? undefined : message.highestBacklogged,
    };
}

function mapAccounts(accounts: readonly number[], values: readonly number[]): ReadonlyMap<number, number> {
    return new Map(accounts.map((account, index) => [account, values[index] ?? 0]));
}
