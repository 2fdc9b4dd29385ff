import test from "ava";
import type { ForwardAttempt } from "../../src/router/forwardAttempt.js";
import { RouterMetrics } from "../../src/router/routerMetrics.js";
import { RouterSpill } from "../../src/router/spill/routerSpill.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";

const settings = {
    sameRegionWaitMsPerMb: 1,
    otherRegionWaitMsPerMb: 10,
    minGainMs: 10,
    needsReportedSpeeds: false,
};

// What leaves is billed; without a line and a count, nobody can tell which service and data centre it was for.
test("the flow to a data centre is logged at its start and end, and its requests and bytes are counted", t => {
    let now = 0;
    const lines: [event: string, fields: object][] = [];
    const metrics = RouterMetrics.create();
    const spill = RouterSpill.create({
        settings: { instance: "a0", spill: settings },
        log: { write: (event, fields) => lines.push([event, fields]) },
        metrics,
        listMembers: () => [],
        startedAt: 0,
        getNow: () => now,
    });
    const record = { dataCentre: "b", isOtherRegion: false, gainMs: 20.4 };
    spill?.inputs.onLeft?.("s", record);
    now = 500;
    spill?.inputs.onLeft?.("s", record);
    const attempt = {
        receivedBytes: 1000,
        isWritten: true,
        grant: { spill: record },
    } as unknown as ForwardAttempt;
    spill?.recordAttempt(makeRoutedRequest({ bodyBytes: 200 }), attempt, true);
    [2499, 2500, 5000].forEach(at => spill?.expire(at));
    const flow = { service: "s", dataCentre: "b", isOtherRegion: false };
    t.deepEqual(lines, [
        ["spill-started", { ...flow, gainMs: 20 }],
        ["spill-stopped", { ...flow, requests: 2, ms: 500 }],
    ]);
    const labels = `service="s",data_centre="b",other_region="false"`;
    t.true(metrics.render().includes(`baobabspread_spill_requests_total{${labels}} 2\n`));
    t.true(metrics.render().includes(`baobabspread_spill_bytes_total{${labels},direction="out"} 200\n`));
    t.true(metrics.render().includes(`baobabspread_spill_bytes_total{${labels},direction="in"} 1000\n`));
    t.is(spill?.inputs.responseSizes.estimate("r"), 1000);
});

// A starting instance that counts itself as the only one would take all headroom for its own.
test("the instances count as unknown for 2 s after the start", t => {
    let now = 1000;
    const spill = RouterSpill.create({
        settings: { instance: "a0", spill: settings },
        log: { write: () => undefined },
        metrics: RouterMetrics.create(),
        listMembers: () => [],
        startedAt: 1000,
        getNow: () => now,
    });
    t.is(spill?.inputs.listMembers(), undefined);
    now = 3000;
    t.deepEqual(spill?.inputs.listMembers(), []);
});
