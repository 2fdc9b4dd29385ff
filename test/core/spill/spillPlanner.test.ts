import test from "ava";
import type { TargetState } from "../../../src/core/routing/targetState.js";
import { ResponseSizes } from "../../../src/core/spill/responseSizes.js";
import { SummaryRecord } from "../../../src/core/spill/summaryRecord.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

type Scheduler = ReturnType<typeof createScheduler>["scheduler"];

let prompts = 0;

/** One engine here and four in another region, which is known to be idle. */
function createSpill(
    otherRegionWaitMsPerMb = 0,
    responseBytes = 0,
    needsReportedSpeeds = false,
): { scheduler: Scheduler; home: TargetState; } {
    const summaries = SummaryRecord.create();
    summaries.record("b", Infinity);
    const responseSizes = ResponseSizes.create();
    responseSizes.record("r", responseBytes);
    const { scheduler } = createScheduler(
        0,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        {
            settings: {
                sameRegionWaitMsPerMb: 0,
                otherRegionWaitMsPerMb,
                minGainMs: 20,
                needsReportedSpeeds,
            },
            instance: "a0",
            responseSizes,
            summaries,
            listMembers: () => ["a0", "b0"].map(name => ({ name, dataCentre: name.slice(0, 1), weight: 1 })),
        },
    );
    const targets = ["h", "b1", "b2", "b3", "b4"].map(id =>
        makeTargetDescriptor(id, { dataCentre: id === "h" ? "a" : "b", slots: 16 })
    );
    scheduler.setTargets(targets, new Set(), 0);
    const home = scheduler.targets.get("h");
    if (!home) {
        throw new Error("no target");
    }
    return { scheduler, home };
}

function findPlace(
    scheduler: Scheduler,
    fields: Parameters<typeof makeRoutedRequest>[0],
    now: number,
): string | undefined {
    // A prompt of its own, which no target has cached.
    prompts += 1;
    const prompt = [{ id: String(prompts), tokens: 1000 }];
    const request = makeRoutedRequest({ prompt, objectiveDeadline: now + 400, ...fields });
    const { grant } = enqueueRequest(scheduler, request, now);
    return grant?.target.descriptor.dataCentre;
}

// The round trip is 40 ms. A gain near zero changes sign with each report, and requests would go to and fro.
test("a request leaves for the smallest gain only, and for half of it while others leave", t => {
    const { scheduler, home } = createSpill();
    home.pendingTokens = 2900;
    t.is(findPlace(scheduler, {}, 1000), "a");
    home.pendingTokens = 3300;
    t.is(findPlace(scheduler, {}, 2000), "b");
    home.pendingTokens = 2900;
    t.is(findPlace(scheduler, {}, 2100), "b");
    home.pendingTokens = 2300;
    t.is(findPlace(scheduler, {}, 2200), "a");
});

// A link that is billed by the megabyte was used like one that costs nothing.
test("bytes out and in keep a request home when they are worth more than its wait", t => {
    const heavy = createSpill(100, 1_000_000);
    heavy.home.pendingTokens = 4000;
    t.is(findPlace(heavy.scheduler, {}, 1000), "a");
    const light = createSpill(100, 10_000);
    light.home.pendingTokens = 4000;
    t.is(findPlace(light.scheduler, {}, 1000), "b");
    light.home.pendingTokens = 4000;
    t.is(findPlace(light.scheduler, { bodyBytes: 1_000_000 }, 1500), "a");
});

// A request may wait for its own data centre, but the flow must not take more than the headroom elsewhere.
test("requests beyond the window wait while the own data centre has a target, and leave when it has none", t => {
    const { scheduler, home } = createSpill();
    home.pendingTokens = 50_000;
    const places = Array.from({ length: 30 }, () => findPlace(scheduler, {}, 1000));
    const left = places.filter(place => place === "b").length;
    t.true(left > 0 && left < 20, String(left));
    t.is(findPlace(scheduler, {}, 1000), undefined);
    home.ejectedUntil = 5000;
    t.is(findPlace(scheduler, {}, 1001), "b");
});

// Spill must not move what has to stay.
test("a request stays in its allowed regions whatever it would gain", t => {
    const { scheduler, home } = createSpill();
    home.pendingTokens = 50_000;
    t.is(findPlace(scheduler, { regions: ["r"] }, 1000), undefined);
});

// Each new route name, of a configuration that changes for months, would stay in memory.
test("sizes of responses are learned by route, and bounded in number", t => {
    const sizes = ResponseSizes.create();
    sizes.record("first", 1000);
    sizes.record("first", 2000);
    t.is(sizes.estimate("first"), 1100);
    Array.from({ length: 1000 }, (_, i) => sizes.record(String(i), 1));
    t.is(sizes.estimate("first"), sizes.estimate("unknown"));
});

// Deployments whose targets report no pace must be served as before, although the settings of all have the group.
test("services whose targets report no speeds are served without spill if the settings ask for speeds", t => {
    const heavy = createSpill(100, 1_000_000, true);
    heavy.home.pendingTokens = 3300;
    t.is(findPlace(heavy.scheduler, {}, 1000), "b");
    const load = { runningRequests: 0, waitingRequests: 0, slots: 16, workTimeRatio: 1 };
    [...heavy.scheduler.targets.values()].forEach(target => target.recordLoad(load, 1000));
    t.is(findPlace(heavy.scheduler, {}, 1000), "a");
});
