import test from "ava";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";
import { OriginsHarness } from "../testing/streams/originsHarness.js";

const V1 = makeTargetDescriptor("t1", { version: "v1", startedAtMs: 1 });
const V2 = makeTargetDescriptor("t2", { version: "v2", startedAtMs: 2 });
/** Longest time-out (10 s) and the time for which targets that have left go on serving. */
const WINDOW_MS = 20_000;

const V3 = makeTargetDescriptor("t3", { version: "v3", startedAtMs: 1 });

test("streams wait for 3 s at a version that appears beside another one", t => {
    const instance = OriginsHarness.create();
    instance.observe([V2, V1], 5000);
    t.deepEqual([V1, V2].map(target => instance.origins.mayBegin(target, instance.now)), [true, true]);
    instance.origins.observeTargets([V1, V2, V3], instance.now);
    t.false(instance.origins.mayBegin(V3, instance.now + 2999));
    t.true(instance.origins.mayBegin(V3, instance.now + 3000));
    t.is(instance.take("new-version").length, 0);
});

// An instance that is cut off may take the version before for the only one, and cannot be told of the new one.
test("a version without another one beside it is used once all instances that were live lately have confirmed it", t => {
    const instance = OriginsHarness.create();
    instance.observe([V1], 5000);
    instance.origins.observeTargets([{ ...V1, isDraining: true }, V3], instance.now);
    t.false(instance.origins.mayBegin(V3, instance.now));
    t.false(instance.origins.mayBegin(V3, instance.now));
    const hosts = instance.take("new-version").map(([host]) => host);
    t.is(hosts.length, instance.members.length - 1);
    const [last = "", ...others] = hosts;
    others.forEach(host => instance.origins.receive(["version-confirmed", "s", "v3"], host));
    instance.origins.flush(instance.now + 120);
    t.deepEqual(instance.take("new-version").map(([host]) => host), [last]);
    t.false(instance.origins.mayBegin(V3, instance.now));
    instance.origins.receive(["version-confirmed", "s", "v3"], last);
    t.true(instance.origins.mayBegin(V3, instance.now));
    t.is(instance.take("version-known").length, hosts.length);
});

// An instance that was cut off a moment ago is not live any more, but may be certain of an origin for 3 s.
test("an instance that was live 2 s ago has to confirm a new version, too", t => {
    for (const [forMs, count] of [[2000, 8], [6000, 7]] as const) {
        const instance = OriginsHarness.create();
        instance.observe([V1], 5000);
        instance.members = instance.members.slice(0, -1);
        instance.observe([V1], forMs);
        instance.origins.observeTargets([V3], instance.now);
        t.false(instance.origins.mayBegin(V3, instance.now));
        t.is(instance.take("new-version").length, count);
    }
});

test("an instance confirms what a peer tells of a new version, and does not tell it itself", t => {
    const instance = OriginsHarness.create();
    instance.observe([V1], 5000);
    instance.origins.receive(["new-version", "s", "v3"], "ip of p1");
    t.deepEqual(instance.take("version-confirmed"), [["ip of p1", ["version-confirmed", "s", "v3"]]]);
    instance.origins.observeTargets([V3], instance.now);
    t.false(instance.origins.mayBegin(V3, instance.now));
    instance.origins.flush(instance.now + 120);
    t.is(instance.take("new-version").length, 0);
    instance.origins.receive(["version-known", "s", "v3"], "ip of p1");
    t.true(instance.origins.mayBegin(V3, instance.now));
    // A notice is no longer believed when the version may be new again.
    instance.origins.observeTargets([V1], instance.now);
    instance.observe([V1], 20_000);
    instance.origins.observeTargets([V3], instance.now);
    t.false(instance.origins.mayBegin(V3, instance.now));
});

test("an instance that has just started does not know whom to ask about a new version, and waits", t => {
    const instance = OriginsHarness.create();
    instance.observe([V1], 2500);
    instance.origins.observeTargets([V3], instance.now);
    t.false(instance.origins.mayBegin(V3, instance.now));
    t.is(instance.take("new-version").length, 0);
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

// Guards against an explanation that announces a version to all instances, or that predicts another answer than theirs.
test("an explanation announces no version, and predicts whether streams may begin", t => {
    const instance = OriginsHarness.create();
    instance.observe([V1], 5000);
    instance.origins.observeTargets([V3], instance.now);
    t.false(instance.origins.mayBegin(V3, instance.now, true));
    t.deepEqual(instance.take("new-version"), []);
    t.false(instance.origins.mayBegin(V3, instance.now));
    const hosts = instance.take("new-version").map(([host]) => host);
    hosts.forEach(host => instance.origins.receive(["version-confirmed", "s", "v3"], host));
    t.true(instance.origins.mayBegin(V3, instance.now, true));

    const alone = OriginsHarness.create();
    alone.members = alone.members.slice(0, 1);
    alone.observe([V1], 5000);
    alone.origins.observeTargets([V3], alone.now);
    t.true(alone.origins.mayBegin(V3, alone.now, true));
    t.true(alone.origins.mayBegin(V3, alone.now));
});
