import test from "ava";
import type { TargetNotice } from "../../../src/core/routing/targetNotice.js";
import { createTargetNotices } from "../../testing/createTargetNotices.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const NOTHING: TargetNotice = { isLeaving: false, pauseMs: undefined, unusualHeaders: [] };
const LEAVING = { ...NOTHING, isLeaving: true };
const TARGET = makeTargetDescriptor("t", { startedAtMs: 5 });

// The list of the platform may say ready for seconds after the target has said that it leaves, or lack it for a while.
test("keeps a leaving target out while the list says that it is ready, until another start of it", t => {
    const notices = createTargetNotices();
    const { scheduler } = createScheduler(0, undefined, undefined, undefined, undefined, notices);
    scheduler.setTargets([TARGET], new Set(), 0);
    notices.observe(TARGET, LEAVING, 100);
    notices.observe(TARGET, NOTHING, 150);
    notices.observe(TARGET, { ...NOTHING, pauseMs: 10 }, 150);
    scheduler.setTargets([], new Set(), 200);
    scheduler.setTargets([{ ...TARGET, sequence: 9 }], new Set(), 300);
    t.is(enqueueRequest(scheduler, makeRoutedRequest(), 300).refusal, "no-target", "known to fail");
    scheduler.setTargets([{ ...TARGET, startedAtMs: 6 }], new Set(), 400);
    t.not(enqueueRequest(scheduler, makeRoutedRequest(), 400).grant, undefined);
});

test("keeps the longest pause of a target, and sends to it again at its end", t => {
    const notices = createTargetNotices();
    const { scheduler } = createScheduler(0, undefined, undefined, undefined, undefined, notices);
    scheduler.setTargets([TARGET], new Set(), 0);
    notices.observe(TARGET, { ...NOTHING, pauseMs: 3000 }, 100);
    notices.observe(TARGET, { ...NOTHING, pauseMs: 0 }, 200);
    const refused = enqueueRequest(scheduler, makeRoutedRequest(), 300);
    t.is(refused.refusal, "targets-paused");
    t.is(
        enqueueRequest(scheduler, makeRoutedRequest({ receivedAt: 3000, objectiveDeadline: 3400 }), 3099)
            .grant,
        undefined,
    );
    t.not(enqueueRequest(scheduler, makeRoutedRequest({ receivedAt: 3100 }), 3100).grant, undefined);
});

test("lets a request wait for a pause that ends before the request must begin", t => {
    const notices = createTargetNotices();
    const { scheduler } = createScheduler(0, undefined, undefined, undefined, undefined, notices);
    scheduler.setTargets([TARGET], new Set(), 0);
    notices.observe(TARGET, { ...NOTHING, pauseMs: 100 }, 0);
    const waiting = enqueueRequest(scheduler, makeRoutedRequest(), 10);
    t.is(waiting.refusal, undefined);
    scheduler.advance(100);
    t.not(waiting.grant, undefined);
});
