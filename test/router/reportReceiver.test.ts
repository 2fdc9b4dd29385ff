import test from "ava";
import { AdmissionPressure } from "../../src/core/admission/admissionPressure.js";
import { AccountUsage } from "../../src/core/routing/accountUsage.js";
import type { CrashRecord } from "../../src/core/routing/crashRecord.js";
import type { MemberRecord } from "../../src/core/routing/memberRecord.js";
import { pickReportRole } from "../../src/core/routing/pickReportRole.js";
import { PromptLocations } from "../../src/core/routing/promptLocations.js";
import type { ReportRole } from "../../src/core/routing/reportRole.js";
import { SentReports } from "../../src/core/routing/sentReports.js";
import { SpeedReports } from "../../src/core/targetSpeed/speedReports.js";
import { parsePeerReport } from "../../src/router/parsePeerReport.js";
import type { PeerReport } from "../../src/router/peerReport.js";
import { ReportReceiver } from "../../src/router/reportReceiver.js";
import type { RouterSettings } from "../../src/router/routerSettings.js";
import { createCrashRecord } from "../testing/createCrashRecord.js";
import { createLimiter } from "../testing/createLimiter.js";

const WINDOW_MS = 4000;
const MEMBER: ReportRole = { kind: "member", rank: 0, delegates: [] };
const NOW_UNIX_MS = 1_700_000_000_000;

function makeMember(name: string, fields: Partial<MemberRecord> = {}): MemberRecord {
    return {
        name,
        dataCentre: "a",
        region: "r",
        ip: "10.0.0.1",
        callerAddress: "10.0.0.1:80",
        incarnation: 1,
        sequence: 1,
        state: "open",
        weight: 1,
        ...fields,
    };
}

function makeReport(name: string, fields: Partial<PeerReport> = {}): PeerReport {
    return {
        scope: "instance",
        sender: makeMember(name),
        loads: [["t", 2, 100]],
        usage: [["account", 30, 20]],
        prompts: [],
        others: [],
        ...fields,
    };
}

function createReceiver(): {
    receiver: ReportReceiver;
    usage: AccountUsage;
    sentReports: SentReports;
    crashRecord: CrashRecord;
    pressure: AdmissionPressure;
    sumLoad: () => number;
} {
    const pressure = AdmissionPressure.create();
    const usage = AccountUsage.create(WINDOW_MS);
    const sentReports = SentReports.create();
    const crashRecord = createCrashRecord();
    const loads = new Map<string, PeerReport["loads"]>();
    const receiver = ReportReceiver.create({
        pressure,
        settings: { instance: "self", locality: { dataCentre: "a", region: "r" } } as RouterSettings,
        usage,
        promptLocations: PromptLocations.create(),
        crashRecord,
        sentReports,
        limits: createLimiter(),
        speedReports: SpeedReports.create({ listSpeeds: () => [], onObservation: () => undefined }),
        onLoads: (sender, reported) => loads.set(sender, reported),
    });
    const sumLoad = (): number => [...loads.values()].flat().reduce((sum, [, inFlight]) => sum + inFlight, 0);
    return { receiver, usage, sentReports, crashRecord, pressure, sumLoad };
}

test("large data centre: an instance that gets summaries counts each peer once and itself not at all", t => {
    const { receiver, usage, sentReports, sumLoad } = createReceiver();
    receiver.apply(makeReport("peer"), MEMBER, 0);
    t.is(sumLoad(), 2);
    sentReports.add({ sequence: 7, loads: [["t", 3, 50]], usage: [["account", 10, 10]] });
    sentReports.add({ sequence: 8, loads: [["t", 5, 50]], usage: [["account", 11, 11]] });
    receiver.apply(
        makeReport("delegate", {
            scope: "local-summary",
            loads: [["t", 9, 300]],
            usage: [["account", 100, 90]],
            included: [["self", 1, 7, "open"], ["peer", 1, 1, "open"]],
        }),
        MEMBER,
        100,
    );
    t.is(sumLoad(), 6);
    t.is(usage.getGranted("account", 100), 80);
    // A report that came by gossip is part of the summary and must not count again.
    receiver.apply(makeReport("peer"), MEMBER, 150);
    t.is(sumLoad(), 6);
});

test("learns from reports of all scopes on which prompt parts targets crash, and forwards only what is local", t => {
    for (const scope of ["instance", "local-summary", "data-centre"] as const) {
        const { receiver, crashRecord } = createReceiver();
        const sender = makeMember("peer", { dataCentre: scope === "data-centre" ? "b" : "a" });
        const crashOutcomes = [3000, 2000, 1000].map(ageMs =>
            ["bad", "crash", ageMs + 100, ageMs, `t${ageMs}`] as const
        );
        const report = parsePeerReport(makeReport("peer", { scope, sender, crashOutcomes }), NOW_UNIX_MS);
        if (!report) {
            t.fail("invalid report");
            return;
        }
        receiver.apply(report, MEMBER, 5000);
        t.is(crashRecord.countBlocked("part"), 1, scope);
        // Crashes that block a part are repeated to all; the others would be sent twice.
        const crashes = crashRecord.takeReport("remote", 5000) ?? [];
        t.is(crashes.length, scope === "data-centre" ? 3 : 6, scope);
    }
    const invalid = [
        ["bad", "crash", -1, 0, "t"],
        ["bad", "other", 1, 0, "t"],
        ["bad", "crash", 1, 0],
        ["bad", "crash", 1, 0, 1],
    ];
    for (const outcome of invalid) {
        const report = { ...makeReport("peer"), crashOutcomes: [outcome] };
        t.is(parsePeerReport(report, NOW_UNIX_MS), undefined);
    }
});

test("a version of the configuration that no configuration can have makes a report invalid", t => {
    const versions = [[0, true], [7, true], [-1, false], [1e300, false], [0.5, false]] as const;
    for (const [configurationVersion, isValid] of versions) {
        const report = { ...makeReport("peer"), configurationVersion };
        t.is(parsePeerReport(report, NOW_UNIX_MS) !== undefined, isValid, String(configurationVersion));
    }
});

test("loss of both delegates: reports of single peers count again when the summaries have stopped", t => {
    const { receiver, usage, sumLoad } = createReceiver();
    receiver.apply(makeReport("delegate", { scope: "local-summary", included: [] }), MEMBER, 0);
    t.is(usage.getGranted("account", 0), 20);
    receiver.apply(makeReport("peer", { loads: [["t", 4, 0]], usage: [["account", 7, 7]] }), MEMBER, 700);
    t.false(receiver.hasSummary(700));
    t.is(sumLoad(), 4);
    t.is(usage.getGranted("account", 700), 7);
});

test("large data centre: each instance reports to two delegates, however many peers there are", t => {
    const roles = [6, 30, 300].map(size => {
        const members = Array.from({ length: size }, (_, i) => makeMember(`m${i}`));
        return members.map(member =>
            pickReportRole(member, members.filter(other => other.name !== member.name))
        );
    });
    t.true(roles[0]?.every(role => role.kind === "mesh"));
    for (const large of roles.slice(1)) {
        t.is(large.filter(role => role.kind === "delegate").length, 2);
        t.true(large.every(role => role.kind === "delegate" || role.delegates.length === 2));
        t.is(large.filter(role => role.kind === "delegate" && role.rank === 0).length, 1);
    }
});

test("large data centre: a busy or leaving instance is no delegate, because its summaries would be late", t => {
    const members = Array.from({ length: 30 }, (_, i) => makeMember(`m${i}`));
    const [self, ...peers] = members;
    if (!self) {
        t.fail("no member");
        return;
    }
    const { delegates } = pickReportRole(self, peers);
    const busy = peers.map(peer => delegates.includes(peer) ? { ...peer, state: "busy" as const } : peer);
    const names = pickReportRole(self, busy).delegates.map(({ name }) => name);
    t.true(names.length > 0 && delegates.every(({ name }) => !names.includes(name)));
    // While all start, there are delegates all the same.
    const starting = members.map(member => ({ ...member, state: "closed" as const }));
    const [first, ...others] = starting;
    t.true(first !== undefined && pickReportRole(first, others).delegates.length > 0);
});

test("hostile peer: a report with impossible amounts, names or starts is no report", t => {
    const isAccepted = (report: unknown): boolean => parsePeerReport(report, NOW_UNIX_MS) !== undefined;
    t.true(isAccepted(makeReport("peer")));
    for (
        const report of [
            undefined,
            "text",
            makeReport("peer", { loads: [["t", Number.POSITIVE_INFINITY, 0]] }),
            makeReport("peer", { loads: [["t", -1, 0]] }),
            makeReport("peer", { usage: [["account", 1, 1e300]] }),
            makeReport("peer", { loads: Array.from({ length: 100_000 }, () => ["t", 1, 1] as const) }),
            makeReport("peer", { sender: makeMember("peer", { incarnation: NOW_UNIX_MS * 2 }) }),
            makeReport("peer", { sender: makeMember("peer", { sequence: -1 }) }),
            makeReport("peer", { sender: makeMember("peer", { ip: "some.host" }) }),
            makeReport("peer", { included: [["peer", 1, 1.5, "open"]] }),
            { ...makeReport("peer"), others: [null] },
        ]
    ) {
        t.false(isAccepted(report), JSON.stringify(report)?.slice(0, 200));
    }
});

// What an instance lacks itself would come back to it with each summary, and restrict its accounts for longer than it lasts.
test("unmet demand in summaries and reports counts once, without the instance's own, and not after 600 ms", t => {
    const { receiver, pressure } = createReceiver();
    receiver.apply(makeReport("peer", { unmet: 100 }), MEMBER, 0);
    t.is(pressure.sumUnmet(0), 100);
    pressure.recordRefusal(150, true, 10);
    t.is(pressure.getLocalUnmet(10), 300);
    receiver.apply(makeReport("delegate", { scope: "local-summary", included: [], unmet: 500 }), MEMBER, 10);
    t.is(pressure.sumUnmet(10), 500);
    t.is(pressure.sumUnmet(611), pressure.getLocalUnmet(611));
});

// A report of an older instance has no such field; its last value would restrict accounts for as long as it reports.
test("unmet demand of another data centre ends with a summary without it, or after 1.2 s", t => {
    const sender = makeMember("far", { dataCentre: "b" });
    for (const [next, now] of [[100, 101], [undefined, 1201]] as const) {
        const { receiver, pressure } = createReceiver();
        receiver.apply(makeReport("far", { scope: "data-centre", sender, unmet: 700 }), MEMBER, 0);
        t.is(pressure.sumUnmet(100), 700);
        if (next !== undefined) {
            receiver.apply(makeReport("far", { scope: "data-centre", sender }), MEMBER, next);
        }
        t.is(pressure.sumUnmet(now), 0);
    }
});
