import test from "ava";
import { PromptHolders } from "../../../src/core/routing/promptHolders.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetEntry } from "../../testing/scheduler/makeTargetEntry.js";

test("reports a location once, and again after half of its time, so that reports stay small", t => {
    const holders = PromptHolders.create();
    holders.record("p", "t1", 0);
    holders.record("p", "t1", 1000);
    t.deepEqual(holders.takeNews(1000), [["p", "t1"]]);
    t.deepEqual(holders.takeNews(1100), []);
    holders.record("p", "t1", 6000);
    t.deepEqual(holders.takeNews(6000), [["p", "t1"]]);
});

test("summarises the locations of the local data centre without those reported by remote ones", t => {
    const holders = PromptHolders.create();
    holders.record("p", "t1", 0);
    holders.adopt([["q", "t2"]], true, 0);
    holders.adopt([["r", "t3"]], false, 0);
    t.deepEqual(holders.takeSummary(), [["p", "t1"], ["q", "t2"]]);
    t.deepEqual(holders.takeSummary(), []);
    t.true(holders.has("r", "t3", 0));
});

test("drops a location after the time for which an engine caches a part", t => {
    const holders = PromptHolders.create();
    holders.record("p", "t1", 0);
    t.true(holders.hasAny("p", 9000));
    t.false(holders.hasAny("p", 10_001));
    t.false(holders.has("p", "t1", 10_001));
});

test("names the target with the cached copy as the source of a part, even for the affinity target", t => {
    const holders = PromptHolders.create();
    const { scheduler } = createScheduler(0, undefined, holders);
    scheduler.setTargets(["t1", "t2", "t3"].map(id => makeTargetEntry(id)), new Set(), 0);
    const home = enqueueRequest(scheduler, makeRoutedRequest(), 0).grant?.target.entry.id ?? "";
    const holder = ["t1", "t2", "t3"].find(id => id !== home) ?? "";
    holders.adopt([["shared", holder]], false, 0);
    // The target with the cached copy has no free slot, so the request goes to another one.
    scheduler.targets.get(holder)?.setPeerLoad("peer", { inFlight: 4, pendingTokens: 0, validUntil: 1000 });
    const { grant } = enqueueRequest(scheduler, makeRoutedRequest({ requestId: "2" }), 10);
    t.not(grant?.target.entry.id, holder);
    t.is(grant?.promptSource, `${holder}:1`);
});

test("prefers a target with a reported cached copy to an affinity target without one", t => {
    const entries = ["t1", "t2", "t3"].map(id => makeTargetEntry(id));
    const request = makeRoutedRequest({
        prompt: [{ id: "long", tokens: 4000 }, { id: "own", tokens: 100 }],
        promptTokens: 4100,
    });
    const pick = (holders: PromptHolders): ReturnType<typeof enqueueRequest>["grant"] => {
        const { scheduler } = createScheduler(0, undefined, holders);
        scheduler.setTargets(entries, new Set(), 0);
        return enqueueRequest(scheduler, request, 0).grant;
    };
    const home = pick(PromptHolders.create())?.target.entry.id;
    const holder = entries.find(({ id }) => id !== home)?.id ?? "";
    const holders = PromptHolders.create();
    holders.adopt([["long", holder]], true, 0);
    const grant = pick(holders);
    t.is(grant?.target.entry.id, holder);
    t.is(grant?.promptSource, undefined);
});
