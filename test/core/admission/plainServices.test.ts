import test from "ava";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const TOKENS_PER_SECOND = 1000;
const TIMES = { warmupMs: 0, coldRequestsPerSecond: 0, shortestObjectiveMs: 400 };
const PLAIN = { name: "s", maxConnections: 100, ...TIMES, engine: undefined };
const ENGINES = {
    ...PLAIN,
    engine: { slots: 4, memoryTokens: 100_000, tokenBytes: 100_000, linkMbps: 100_000 },
};

// Load: a plain service whose slots are taken, beside idle engines that an account uses beyond its share. One scheduler stands
// for both, as schedulers share what they know of refusals.
// Accounts would be refused at idle engines because a plain service, which no engine can help, has no free slot.
test("a refusal at a plain service does not show that engines are short", t => {
    for (const [refusing, kinds] of [[PLAIN, ["surplus"]], [ENGINES, ["over", "excluded"]]] as const) {
        const { scheduler, usage } = createScheduler(TOKENS_PER_SECOND);
        scheduler.setService(refusing);
        scheduler.setTargets([makeTargetDescriptor("t")], new Set(), 0);
        const [target] = scheduler.targets.values();
        target?.recordLoad({ runningRequests: 4, waitingRequests: 0, slots: 4, workTimeRatio: 1 }, 0);
        Object.assign(target ?? {}, { inFlight: 100 });
        usage.addDemand("loud", 100_000, 0);
        usage.addGranted("loud", 20_000, 0);
        t.is(enqueueRequest(scheduler, makeRoutedRequest({ account: "small" }), 399).refusal, "overloaded");
        scheduler.setService(ENGINES);
        const { kind } = scheduler.explainer.getStatus(makeRoutedRequest({ account: "loud" }), 450);
        t.true((kinds as readonly string[]).includes(kind), kind);
    }
});
