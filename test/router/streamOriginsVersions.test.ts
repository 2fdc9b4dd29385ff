import test from "ava";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";
import { OriginsHarness } from "../testing/streams/originsHarness.js";

const V1 = makeTargetDescriptor("t1", { version: "v1", startedAtMs: 1 });
const V2 = makeTargetDescriptor("t2", { version: "v2", startedAtMs: 2 });
/** Longest time-out (10 s) and the time for which targets that have left go on serving. */
const WINDOW_MS = 20_000;

test("streams wait at a new version unless no other has targets left, which all instances are told once", t => {
    const instance = OriginsHarness.create();
    instance.observe([V2, V1], 5000);
    t.true(instance.origins.mayBegin(V1, instance.now));
    t.true(instance.origins.mayBegin(V2, instance.now));
    const v3 = makeTargetDescriptor("t3", { version: "v3", startedAtMs: 1 });
    instance.observe([V1, V2, v3], 2000);
    t.false(instance.origins.mayBegin(v3, instance.now));
    t.is(instance.take("new-version").length, 0);
    instance.origins.observeTargets([{ ...V1, isDraining: true }, v3], instance.now);
    t.false(instance.origins.mayBegin(v3, instance.now));
    t.false(instance.origins.mayBegin(v3, instance.now + 99));
    t.true(instance.origins.mayBegin(v3, instance.now + 100));
    instance.origins.flush(instance.now);
    instance.origins.flush(instance.now);
    t.is(instance.take("new-version").length, 2 * (instance.members.length - 1));
    // Others need not repeat what two peers have told.
    const informed = OriginsHarness.create();
    informed.observe([V1], 5000);
    ["ip of p1", "ip of p2"].forEach(host => informed.origins.receive(["new-version", "s", "v3"], host));
    informed.now += 100;
    informed.origins.observeTargets([v3], informed.now);
    t.true(informed.origins.mayBegin(v3, informed.now));
    informed.origins.flush(informed.now);
    t.is(informed.take("new-version").length, 0);
});

// An instance that starts cannot tell which versions others have seen; the oldest process shows which came first.
test("of the versions that an instance finds at its start, only that of the oldest target may be used at once", t => {
    const instance = OriginsHarness.create();
    instance.origins.observeTargets([V2, V1], 0);
    t.deepEqual([V1, V2].map(target => instance.origins.mayBegin(target, 0)), [true, false]);
    t.deepEqual([V1, V2].map(target => instance.origins.mayBegin(target, 3000)), [true, true]);
    // In a long outage of the store, a version may have left for so long that others have forgotten it.
    instance.observe([V1, V2], 5000);
    instance.now += WINDOW_MS - 4000;
    instance.origins.observeTargets([V1, V2], instance.now);
    t.deepEqual([V1, V2].map(target => instance.origins.mayBegin(target, instance.now)), [true, false]);
});

test("a version that a peer tells of, or that is back after a long time, ends the certainty and waits again", t => {
    const instance = OriginsHarness.create();
    instance.observe([V1, V2], 5000);
    instance.observe([V1], WINDOW_MS + 1000);
    t.deepEqual(instance.find("x").origin, { service: "s", version: "v1" });
    // A certainty that a record contradicts is none.
    instance.recordBegun("y", V2);
    t.is(instance.find("y").origin, undefined);
    t.true(instance.origins.receive(["new-version", "s", "v2"], "ip of p1"));
    t.is(instance.find("x").origin, "none");
    instance.origins.observeTargets([V1, V2], instance.now);
    t.false(instance.origins.mayBegin(V2, instance.now));
});
