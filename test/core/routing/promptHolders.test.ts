import test from "ava";
import { PromptHolders } from "../../../src/core/routing/promptHolders.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetEntry } from "../../testing/scheduler/makeTargetEntry.js";

test("a location is told once, and again only when it gets old, so that reports stay small", t => {
    const holders = PromptHolders.create();
    holders.record("p", "t1", 0);
    holders.record("p", "t1", 1000);
    t.deepEqual(holders.takeNews(1000), [["p", "t1"]]);
    t.deepEqual(holders.takeNews(1100), []);
    holders.record("p", "t1", 6000);
    t.deepEqual(holders.takeNews(6000), [["p", "t1"]]);
});

test("a data centre sums up what its instances have seen, and does not send back what others have told it", t => {
    const holders = PromptHolders.create();
    holders.record("p", "t1", 0);
    holders.adopt([["q", "t2"]], true, 0);
    holders.adopt([["r", "t3"]], false, 0);
    t.deepEqual(holders.takeSummary(), [["p", "t1"], ["q", "t2"]]);
    t.deepEqual(holders.takeSummary(), []);
    t.true(holders.has("r", "t3", 0));
});

test("a target is not taken for a holder after it may have dropped the part", t => {
    const holders = PromptHolders.create();
    holders.record("p", "t1", 0);
    t.true(holders.isKnown("p", 9000));
    t.false(holders.isKnown("p", 10_001));
    t.false(holders.has("p", "t1", 10_001));
});

test("a part that another target has read is fetched from it, also by the home of the part", t => {
    const holders = PromptHolders.create();
    const { scheduler } = createScheduler(0, undefined, holders);
    scheduler.setTargets(["t1", "t2", "t3"].map(id => makeTargetEntry(id)), new Set(), 0);
    const home = enqueueRequest(scheduler, makeRoutedRequest(), 0).grant?.target.entry.id ?? "";
    const holder = ["t1", "t2", "t3"].find(id => id !== home) ?? "";
    holders.adopt([["shared", holder]], false, 0);
    // The holder has no room, so the request goes elsewhere.
    scheduler.targets.get(holder)?.setPeerLoad("peer", { inFlight: 4, pendingTokens: 0, validUntil: 1000 });
    const { grant } = enqueueRequest(scheduler, makeRoutedRequest({ requestId: "2" }), 10);
    t.not(grant?.target.entry.id, holder);
    t.is(grant?.promptSource, `${holder}:1`);
});

test("a target that is known to have read a part is preferred to the home that has not", t => {
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
