import type { CounterReplyValues } from "../core/fairness/counterReplyValues.js";
import type { CounterReply } from "./generated/baobabspread/peer/CounterReply.js";

/**
 * Encodes the counters of a reply, in the order of the report's accounts.
 *
 * @param isAddressed True if the report addresses this incarnation; the reply then omits it to save 38 bytes.
 */
export function encodeCounterReply(
    reply: CounterReplyValues,
    accounts: readonly number[],
    isAddressed: boolean,
): CounterReply {
    return {
        incarnation: isAddressed ? "" : reply.incarnation,
        acknowledgedSequence: reply.acknowledgedSequence,
        tokens: accounts.map(account => reply.totals.get(account) ?? 0),
        unsettled: accounts.map(account => reply.unsettled.get(account) ?? 0),
        bases: accounts.map(account => reply.bases.get(account) ?? 0),
        lowestBacklogged: reply.lowest ?? -1,
        highestBacklogged: reply.highest ?? -1,
    };
}
