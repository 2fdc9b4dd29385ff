import test from "ava";
import { createTargetNotices } from "../../testing/createTargetNotices.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const TARGET = makeTargetDescriptor("t", { startedAtMs: 5 });

// Load: an account far beyond its share, at targets that state three figures and pause for 100 ms.
// Its callers would be told to come back at the end of the pause, when their account gets nothing yet, and the refusals
// would not be counted as ones for want of capacity, as they were before the release.
test("an excluded request is refused for the usage of its account, not for a pause that ends before it must begin", t => {
    const notices = createTargetNotices();
    const { scheduler, usage } = createScheduler(1000, undefined, undefined, undefined, undefined, notices);
    scheduler.setTargets([TARGET], new Set(), 0);
    notices.observe(TARGET, { isLeaving: false, pauseMs: 100, unusualHeaders: [] }, 0);
    usage.addDemand("a", 100_000, 0);
    usage.addDemand("b", 100_000, 0);
    usage.addGranted("a", 50_000, 0);
    t.is(scheduler.explainer.getStatus(makeRoutedRequest(), 10).kind, "excluded");
    t.is(enqueueRequest(scheduler, makeRoutedRequest(), 10).refusal, "overloaded");
});
