import test from "ava";
import type { SharedSpeed } from "../../../src/core/targetSpeed/sharedSpeed.js";
import { SpeedReports } from "../../../src/core/targetSpeed/speedReports.js";
import { TargetSpeed } from "../../../src/core/targetSpeed/targetSpeed.js";
import { parsePeerReport } from "../../../src/router/parsePeerReport.js";

const TARGETS = 90;

interface Instance {
    readonly speeds: ReadonlyMap<string, TargetSpeed>;
    readonly reports: SpeedReports;
}

function createInstance(): Instance {
    const speeds = new Map<string, TargetSpeed>(
        Array.from({ length: TARGETS }, (_, i) => [`i-6c772c29${i}`, TargetSpeed.create(0)] as const),
    );
    const reports = SpeedReports.create({
        listSpeeds: () => [...speeds],
        onObservation: (id, observation, now) => speeds.get(id)?.adopt(observation, now),
    });
    return { speeds, reports };
}

function observe({ speeds }: Instance, ratio: number, now: number): void {
    for (const speed of speeds.values()) {
        speed.recordLoad({ runningRequests: 1, waitingRequests: 0, slots: 8, workTimeRatio: ratio }, now);
        speed.recordSample(100 * ratio, 100, now);
    }
}

// Speeds would take more of the links than a part may, at a delegate that sends summaries to its whole data centre.
test("takes at most 4 KB/s at 300 instances, at a delegate, too, and gives each target its turn", t => {
    const instance = createInstance();
    const told = new Set<string>();
    let bytes = 0;
    let summarized = 0;
    const count = (speeds: readonly SharedSpeed[] | undefined, receivers: number): void => {
        bytes += speeds ? `,"speeds":${JSON.stringify(speeds)}`.length * receivers : 0;
        speeds?.forEach(([id]) => told.add(id));
    };
    for (let now = 0; now < 20_000; now += 150) {
        observe(instance, now % 300 === 0 ? 1 : 3, now);
        count(instance.reports.take("instance", 3, now), 3);
        const summary = instance.reports.take("local-summary", 37, now);
        summarized += summary?.length ?? 0;
        count(summary, 37);
        count(now % 300 === 0 ? instance.reports.take("data-centre", 7, now) : undefined, 7);
    }
    t.true(bytes / 20 <= 4096, String(bytes / 20));
    t.true(bytes / 20 > 2000, String(bytes / 20));
    t.is(told.size, TARGETS);
    // One in a second at least, beside the reports.
    t.true(summarized >= 20, String(summarized));
});

// An observation that is passed on would count as new with each report.
test("the age of an observation grows while it is passed on, and after 2 s it does not count", t => {
    const [sender, delegate, receiver] = [createInstance(), createInstance(), createInstance()];
    observe(sender, 2, 1000);
    const own = sender.reports.take("instance", 1, 1200) ?? [];
    t.deepEqual(own[0]?.slice(1), [200, 200]);
    delegate.reports.adopt(own, true, 1300);
    t.is(delegate.reports.take("instance", 1, 1400), undefined, "a report holds own observations only");
    const summary = delegate.reports.take("local-summary", 1, 1500) ?? [];
    t.true(Number(summary[0]?.[2]) >= 400);
    receiver.reports.adopt(summary.map(([id, percent]) => [id, percent, 2000]), true, 2600);
    t.is(receiver.reports.take("local-summary", 1, 2600), undefined);
    receiver.reports.adopt(summary, false, 1600);
    t.truthy(receiver.speeds.get(summary[0]?.[0] ?? "")?.getNewestObservation(1600));
});

// Unknown targets would fill the memory, and impossible figures would spread.
test("hostile peer: impossible figures change nothing, and unknown targets are not kept", t => {
    const { speeds, reports } = createInstance();
    const [id = ""] = speeds.keys();
    reports.adopt([["unknown", 100, 0], [id, 0, 0], [id, 100, 1e12]], true, 5000);
    t.is(speeds.size, TARGETS);
    t.is(speeds.get(id)?.getTimeRatio(5000), 1);
    reports.adopt([[id, 1e12, 0]], true, 5000);
    t.true(Number(speeds.get(id)?.getTimeRatio(5000)) < 2);
});

// During a rolling update, reports of either version would be dropped by the other one.
test("older instances: a report without speeds is valid, one with malformed speeds is none", t => {
    const sender = {
        name: "a",
        dataCentre: "a",
        region: "r",
        ip: "10.0.0.1",
        callerAddress: "10.0.0.1:80",
        incarnation: 1,
        sequence: 1,
        state: "open",
        weight: 1,
    };
    const report = { scope: "instance", sender, loads: [], usage: [], prompts: [], others: [] };
    t.truthy(parsePeerReport(report, 1e12));
    t.truthy(parsePeerReport({ ...report, speeds: [["t", 120, 30]] }, 1e12));
    for (const speeds of [7, [7], [["t", -1, 0]], [["t", 100]], [[1, 100, 0]], [["t", 100, null]]]) {
        t.is(parsePeerReport({ ...report, speeds }, 1e12), undefined);
    }
});
