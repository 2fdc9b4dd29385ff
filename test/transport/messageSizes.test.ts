import test from "ava";
import { v7 as createUuid } from "uuid";
import type { CounterReportValues } from "../../src/core/fairness/counterReportValues.js";
import { decodeCounterReply } from "../../src/transport/decodeCounterReply.js";
import { decodeCounterReport } from "../../src/transport/decodeCounterReport.js";
import { encodeCounterReply } from "../../src/transport/encodeCounterReply.js";
import { encodeCounterReport } from "../../src/transport/encodeCounterReport.js";
import { encodeDemandReport } from "../../src/transport/encodeDemandReport.js";
import type { CounterReply__Output } from "../../src/transport/generated/baobabspread/peer/CounterReply.js";
import type { CounterReport__Output } from "../../src/transport/generated/baobabspread/peer/CounterReport.js";
import { loadPeerDefinition } from "../../src/transport/loadPeerDefinition.js";

const ACCOUNTS = Array.from({ length: 16 }, (_, index) => 3_000_000_000 + index);
const { ExchangeCounters, ReportDemand } = loadPeerDefinition().service;
const INCARNATION = createUuid();

function mapAccounts(value: number): ReadonlyMap<number, number> {
    return new Map(ACCOUNTS.map(account => [account, value]));
}

const REPORT: CounterReportValues = {
    sequence: 5000,
    parentIncarnation: INCARNATION,
    increments: mapAccounts(900),
    waiting: mapAccounts(20),
    totals: new Map(),
    bases: new Map(),
};

// The budget is 4 KB/s for each instance, including 14 bytes of framing for each message. A node with four children
// exchanges two reports and replies per second with each, and an entry renews two pools once per second.
test("keeps a counter exchange of 16 accounts and a demand report within the traffic budget", t => {
    const report = ExchangeCounters.requestSerialize({
        instance: "caerdydd-a-1",
        incarnation: INCARNATION,
        configurationRevision: 100,
        instanceListRevision: 100,
        ...encodeCounterReport(REPORT),
    });
    t.true(report.length <= 230, `${report.length}`);
    const reply = ExchangeCounters.responseSerialize({
        acknowledgedSequence: 5000,
        configurationRevision: 100,
        instanceListRevision: 100,
        ...encodeCounterReply(
            {
                instance: "caerdydd-a-1",
                incarnation: INCARNATION,
                acknowledgedSequence: 5000,
                totals: mapAccounts(90_000_000),
                unsettled: mapAccounts(900),
                bases: mapAccounts(1_000_000),
                lowest: 90_000_000,
                highest: 91_000_000,
            },
            ACCOUNTS,
            true,
        ),
    });
    t.true(reply.length <= 220, `${reply.length}`);
    const demand = ReportDemand.requestSerialize(encodeDemandReport({
        service: "model-desk",
        dataCentre: "caerdydd-a",
        distance: 0,
        demands: ACCOUNTS.slice(0, 4).map(account => ({
            account: `account-${account}`,
            waiting: 20,
            inFlight: 4,
            normalizedService: 90_000_000.5,
        })),
        holdings: new Map(
            ACCOUNTS.slice(0, 4).map(target => [
                `target-${target}`,
                { held: 8, inUse: 8, fencingNumber: 1 },
            ]),
        ),
        responseCounts: new Map(),
        size: 1,
        events: 0,
    }, {
        instance: "caerdydd-a-1",
        incarnation: INCARNATION,
        sequence: 5000,
        appliedSequence: 90_000,
        appliedOwner: 7,
    }));
    t.true(demand.length <= 230, `${demand.length}`);
});

test("decodes counters to the values that were encoded", t => {
    const sent = ExchangeCounters.requestSerialize(encodeCounterReport(REPORT));
    const report = decodeCounterReport(ExchangeCounters.requestDeserialize(sent) as CounterReport__Output);
    t.deepEqual(report.increments, REPORT.increments);
    t.deepEqual(report.waiting, REPORT.waiting);
    const values = {
        instance: "root",
        incarnation: INCARNATION,
        acknowledgedSequence: 7,
        totals: mapAccounts(2 ** 40),
        unsettled: mapAccounts(3),
        bases: mapAccounts(0),
        lowest: undefined,
        highest: undefined,
    };
    const replied = ExchangeCounters.responseSerialize(encodeCounterReply(values, ACCOUNTS, true));
    const reply = ExchangeCounters.responseDeserialize(replied) as CounterReply__Output;
    t.deepEqual(decodeCounterReply(reply, "root", REPORT), values);
});
