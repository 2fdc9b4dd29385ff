import test from "ava";
import { PromptLocations } from "../../../src/core/routing/promptLocations.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

test("reports a location once, and again after half of its time, so that reports stay small", t => {
    const promptLocations = PromptLocations.create();
    promptLocations.record("p", "t1", 0);
    promptLocations.record("p", "t1", 1000);
    t.deepEqual(promptLocations.takePending(1000), [["p", "t1"]]);
    t.deepEqual(promptLocations.takePending(1100), []);
    promptLocations.record("p", "t1", 6000);
    t.deepEqual(promptLocations.takePending(6000), [["p", "t1"]]);
});

test("summarises the locations of the local data centre without those reported by remote ones", t => {
    const promptLocations = PromptLocations.create();
    promptLocations.record("p", "t1", 0);
    promptLocations.adopt([["q", "t2"]], true, 0);
    promptLocations.adopt([["r", "t3"]], false, 0);
    t.deepEqual(promptLocations.takeSummary(), [["p", "t1"], ["q", "t2"]]);
    t.deepEqual(promptLocations.takeSummary(), []);
    t.true(promptLocations.has("r", "t3", 0));
});

test("drops a location after the time for which an engine caches a part", t => {
    const promptLocations = PromptLocations.create();
    promptLocations.record("p", "t1", 0);
    t.true(promptLocations.hasAny("p", 9000));
    t.false(promptLocations.hasAny("p", 10_001));
    t.false(promptLocations.has("p", "t1", 10_001));
});

test("names the target with the cached copy as the source of a part, even for the affinity target", t => {
    const promptLocations = PromptLocations.create();
    const { scheduler } = createScheduler(0, undefined, promptLocations);
    scheduler.setTargets(["t1", "t2", "t3"].map(id => makeTargetDescriptor(id)), new Set(), 0);
    const affinityTargetId = enqueueRequest(scheduler, makeRoutedRequest(), 0).grant?.target.descriptor.id
        ?? "";
    const cachingTargetId = ["t1", "t2", "t3"].find(id => id !== affinityTargetId) ?? "";
    promptLocations.adopt([["shared", cachingTargetId]], false, 0);
    // The target with the cached copy has no free slot, so the request goes to another one.
    scheduler.targets.get(cachingTargetId)?.setPeerLoad("peer", {
        inFlight: 4,
        pendingTokens: 0,
        validUntil: 1000,
    });
    const { grant } = enqueueRequest(scheduler, makeRoutedRequest({ requestId: "2" }), 10);
    t.not(grant?.target.descriptor.id, cachingTargetId);
    t.is(grant?.promptSource, `${cachingTargetId}:1`);
});

test("prefers a target with a reported cached copy to an affinity target without one", t => {
    const descriptors = ["t1", "t2", "t3"].map(id => makeTargetDescriptor(id));
    const request = makeRoutedRequest({
        prompt: [{ id: "long", tokens: 4000 }, { id: "own", tokens: 100 }],
        promptTokens: 4100,
    });
    const pick = (promptLocations: PromptLocations): ReturnType<typeof enqueueRequest>["grant"] => {
        const { scheduler } = createScheduler(0, undefined, promptLocations);
        scheduler.setTargets(descriptors, new Set(), 0);
        return enqueueRequest(scheduler, request, 0).grant;
    };
    const affinityTargetId = pick(PromptLocations.create())?.target.descriptor.id;
    const cachingTargetId = descriptors.find(({ id }) => id !== affinityTargetId)?.id ?? "";
    const promptLocations = PromptLocations.create();
    promptLocations.adopt([["long", cachingTargetId]], true, 0);
    const grant = pick(promptLocations);
    t.is(grant?.target.descriptor.id, cachingTargetId);
    t.is(grant?.promptSource, undefined);
});
