import { v7 as createUuid } from "uuid";
import { applyCounterReply } from "../../core/fairness/applyCounterReply.js";
import { applyCounterReport } from "../../core/fairness/applyCounterReport.js";
import { buildCounterReply } from "../../core/fairness/buildCounterReply.js";
import { buildCounterReport } from "../../core/fairness/buildCounterReport.js";
import { chargeAccounts } from "../../core/fairness/chargeAccounts.js";
import type { CounterState } from "../../core/fairness/counterState.js";
import { createCounterState } from "../../core/fairness/createCounterState.js";
import { decodeCounterReply } from "../../transport/decodeCounterReply.js";
import { decodeCounterReport } from "../../transport/decodeCounterReport.js";
import { encodeCounterReply } from "../../transport/encodeCounterReply.js";
import { encodeCounterReport } from "../../transport/encodeCounterReport.js";
import type { CounterReply__Output } from "../../transport/generated/baobabspread/peer/CounterReply.js";
import type { CounterReport__Output } from "../../transport/generated/baobabspread/peer/CounterReport.js";
import { loadPeerDefinition } from "../../transport/loadPeerDefinition.js";
import { measureProcessorTime } from "./measureProcessorTime.js";

interface ExchangeCost {
    readonly reportBytes: number;
    readonly replyBytes: number;
    /** Processor time of child and parent together, codec included, in microseconds. */
    readonly cpuUs: number;
}

/** Tokens of an account after a day, if 520 accounts share 17 M tokens/s equally. */
const TOTAL = 2_800_000_000;
/** Tokens of an account in one exchange interval at a node whose subtree is an eighth of the fleet. */
const INCREMENT = 2_000;
/** gRPC length prefix and HTTP/2 frame header, as the daemon counts them. */
const FRAMING_BYTES = 14;
const method = loadPeerDefinition().service.ExchangeCounters;

/** Measures one counter exchange between a child and its parent with a number of accounts in the report. */
export function measureExchange(accounts: number, seconds: number): ExchangeCost {
    const parent = { instance: "daemon-1000", incarnation: createUuid() };
    const child = { instance: "daemon-1001", incarnation: createUuid() };
    // Spreads the account numbers over all 32 bits, as hashes of names are.
    const increments = new Map(
        Array.from(
            { length: accounts },
            (_, index) => [Math.imul(index + 1, 2_654_435_761) >>> 0, INCREMENT],
        ),
    );
    const totals = new Map([...increments.keys()].map(account => [account, TOTAL]));
    const base = { ...createCounterState(), totals, bases: totals };
    let upper: CounterState = { ...base, unsettled: increments, lowest: TOTAL, highest: TOTAL };
    let lower: CounterState = {
        ...base,
        waiting: new Map([...increments.keys()].map(account => [account, 3])),
        parentIncarnations: new Map([[parent.instance, parent.incarnation]]),
        parent: parent.instance,
    };
    let [reportBytes, replyBytes] = [0, 0];
    const cpuUs = measureProcessorTime(seconds, () => {
        const built = buildCounterReport(chargeAccounts(lower, increments), parent.instance, 0);
        const sent = method.requestSerialize(
            {
                ...child,
                ...encodeCounterReport(built.report),
                configurationRevision: 1,
                instanceListRevision: 1,
            } as CounterReport__Output,
        );
        const received = method.requestDeserialize(sent);
        upper = applyCounterReport(
            { ...upper, pending: new Map() },
            { ...child, isAddressed: true, expiresAt: 1 },
            decodeCounterReport(received),
        );
        const reply = buildCounterReply(upper, parent, child, received.accounts);
        const answered = method.responseSerialize(
            {
                ...encodeCounterReply(reply, received.accounts, true),
                accepted: true,
                configurationRevision: 1,
            } as CounterReply__Output,
        );
        const values = decodeCounterReply(
            method.responseDeserialize(answered),
            parent.instance,
            built.report,
        );
        lower = applyCounterReply(built.state, values, true);
        [reportBytes, replyBytes] = [sent.length + FRAMING_BYTES, answered.length + FRAMING_BYTES];
    });
    return { reportBytes, replyBytes, cpuUs };
}
