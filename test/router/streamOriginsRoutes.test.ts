import test from "ava";
import type { RouteRule } from "../../src/core/routing/routeRule.js";
import { computePosition } from "../../src/shared/computePosition.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";
import { OriginsHarness } from "../testing/streams/originsHarness.js";

const V1 = makeTargetDescriptor("t1", { version: "v1", startedAtMs: 1 });
const OTHER = makeTargetDescriptor("o1", { service: "other", version: "w1", startedAtMs: 1 });
/** Longest time-out (10 s) and the time for which targets that have left go on serving. */
const WINDOW_MS = 20_000;
const ORIGIN = { service: "s", version: "v1" };
const ROUTE = { pathPrefix: "/a/" };
const ONLY_OTHER = [{ service: "other", weight: 1 }];

/** Creates an instance that has served a route for longer than a stream lasts. */
function createSettled(routes: readonly Partial<RouteRule>[] = [ROUTE]): OriginsHarness {
    const instance = OriginsHarness.create();
    instance.setRoutes(routes);
    instance.observe([V1, OTHER], WINDOW_MS + 1000);
    return instance;
}

/** Finds a stream at a position below or above a half. */
function findStreamId(isBelow: boolean): string {
    const id = Array.from({ length: 100 }, (_, i) => `stream ${i}`)
        .find(text => computePosition(text) < 0.5 === isBelow);
    return id ?? "";
}

// Any change of the resumable routes made the origins of all streams unknown for the longest time-out and 10 s, so that the
// streams of an instance that ended right after it were refused.
const HARMLESS_CHANGES: Readonly<Record<string, readonly Partial<RouteRule>[]>> = {
    "a route is added": [ROUTE, { pathPrefix: "/b/" }],
    "a service is added with a route of its own": [ROUTE, { pathPrefix: "/b/", backends: ONLY_OTHER }],
    "a route is split into two prefixes of its service": [{ pathPrefix: "/a/x/" }, ROUTE],
    "a shorter prefix takes its place": [{ pathPrefix: "/" }],
    "another route is made resumable": [ROUTE, { pathPrefix: "/c/", isResumable: true }],
    "another route moves to another service": [ROUTE, { pathPrefix: "/d/", backends: ONLY_OTHER }],
    "time-outs grow": [{ ...ROUTE, timeoutMs: 60_000 }],
    "time-outs shrink": [{ ...ROUTE, timeoutMs: 1000 }],
};
for (const [what, routes] of Object.entries(HARMLESS_CHANGES)) {
    test(`routes: origins stay certain, and nothing is sent, when ${what}`, t => {
        const instance = createSettled([ROUTE, { pathPrefix: "/c/", isResumable: false }, {
            pathPrefix: "/d/",
        }]);
        instance.recordBegun("before", V1, "/a/x/y");
        instance.sent.splice(0);
        instance.setRoutes(routes);
        t.deepEqual(instance.find("elsewhere", "/a/x/y").origin, ORIGIN);
        instance.recordBegun("after", V1, "/a/x/y");
        instance.origins.flush(instance.now);
        t.deepEqual(instance.sent, []);
    });
}

test("routes: changes one after another, each four seconds, leave the origins of other routes certain", t => {
    const instance = createSettled();
    for (let i = 0; i < 20; i += 1) {
        instance.setRoutes([ROUTE, { pathPrefix: "/b/", ...(i % 2 === 0 ? { backends: ONLY_OTHER } : {}) }]);
        instance.observe([V1, OTHER], 4000);
        t.deepEqual(instance.find("x", "/a/x").origin, ORIGIN);
        if (i > 0) {
            t.is(instance.find("x", "/b/x").origin, "none");
        }
    }
});

test("routes: streams of a route that has moved are told to others, before and after, and unknown without a record", t => {
    const instance = createSettled();
    instance.recordBegun("before", V1, "/a/x");
    instance.sent.splice(0);
    instance.setRoutes([{ ...ROUTE, backends: ONLY_OTHER }]);
    instance.origins.flush(instance.now);
    t.is(instance.take("records").length, 2);
    instance.recordBegun("after", OTHER, "/a/x");
    t.is(instance.take("records").length, 2);
    t.is(instance.find("x", "/a/x").origin, "none");
    t.deepEqual(instance.find("before", "/a/x").origin, ORIGIN);
    instance.observe([V1, OTHER], WINDOW_MS - 500);
    t.is(instance.find("x", "/a/x").origin, "none");
    instance.observe([V1, OTHER], 1000);
    t.deepEqual(instance.find("x", "/a/x").origin, { service: "other", version: "w1" });
});

// A route that is taken away and added again may lead to another service.
test("routes: streams of a route that was removed and came back with another service are unknown", t => {
    const instance = createSettled();
    instance.setRoutes([]);
    instance.observe([V1, OTHER], 4000);
    instance.setRoutes([{ ...ROUTE, backends: ONLY_OTHER }]);
    t.is(instance.find("x", "/a/x").origin, "none");
    instance.setRoutes([]);
    instance.setRoutes([ROUTE]);
    instance.observe([V1, OTHER], WINDOW_MS);
    t.deepEqual(instance.find("x", "/a/x").origin, ORIGIN);
});

test("routes: a split by weight leaves those streams certain that it sends where the route led before", t => {
    const instance = createSettled();
    const backends = [{ service: "s", weight: 1 }, { service: "other", weight: 1 }];
    instance.setRoutes([{ ...ROUTE, backends }]);
    const [kept, moved] = [findStreamId(true), findStreamId(false)];
    t.deepEqual(instance.find(kept, "/a/x").origin, ORIGIN);
    t.is(instance.find(moved, "/a/x").origin, "none");
    t.is(instance.find(undefined, "/a/x").origin, undefined);
    instance.observe([V1, OTHER], WINDOW_MS + 500);
    t.deepEqual(instance.find(moved, "/a/x").origin, { service: "other", version: "w1" });
    instance.sent.splice(0);
    instance.recordBegun(moved, OTHER, "/a/x");
    t.is(instance.take("records").length, 0);
});

// Streams of a route that may not be resumed are recorded nowhere and wait for no new version.
test("routes: streams that began while their route could not be resumed are unknown", t => {
    const instance = createSettled([{ ...ROUTE, isResumable: false }]);
    instance.setRoutes([ROUTE]);
    t.is(instance.find("x", "/a/x").origin, "none");
    instance.observe([V1, OTHER], WINDOW_MS + 500);
    t.deepEqual(instance.find("x", "/a/x").origin, ORIGIN);
});

test("routes: a path that led to no stream puts none in doubt, and a route that may not be resumed has no certain origin", t => {
    const plain = createSettled([{ ...ROUTE, kind: "safe", backends: ONLY_OTHER }]);
    plain.setRoutes([ROUTE]);
    t.deepEqual(plain.find("x", "/a/x").origin, ORIGIN);
    t.is(createSettled([{ ...ROUTE, isResumable: false }]).find("x", "/a/x").origin, "none");
});

test("routes: a longer time-out covers the streams of the time before that had a shorter one, but not versions that were not seen", t => {
    const instance = createSettled([{ ...ROUTE, timeoutMs: 2000 }]);
    instance.observe([OTHER], 1000);
    instance.observe([V1, OTHER], 1000);
    const late = OriginsHarness.create();
    late.setRoutes([ROUTE]);
    late.observe([V1, OTHER], 5000);
    late.setRoutes([{ ...ROUTE, timeoutMs: 30_000 }]);
    late.observe([V1, OTHER], 16_000);
    t.is(late.find("x", "/a/x").origin, "none");
    late.observe([V1, OTHER], 20_000);
    t.deepEqual(late.find("x", "/a/x").origin, ORIGIN);
});

/** Lets an instance ask a peer for its history and believe it, with other fields. */
function joinHistory(instance: OriginsHarness, peer: OriginsHarness, change: object): void {
    const request = instance.take("history-request").at(-1);
    peer.origins.receive(request?.[1], "ip of self");
    const [kind, askedAt, told] = peer.take("history")[0]?.[1] as readonly [string, number, object];
    instance.origins.receive([kind, askedAt, { ...told, ...change }], "ip of p1");
}

// A frozen instance reads the routes of now only, and streams may have begun by routes between.
test("routes: a gap of the confirmations makes origins unknown until a peer tells that the routes have not changed", t => {
    const [settled, instance] = [createSettled(), createSettled()];
    instance.now += 4000;
    for (const change of [{ routes: "other" }, { routesMs: 5000 }]) {
        instance.observe([V1, OTHER], 1000);
        joinHistory(instance, settled, change);
        t.is(instance.find("x", "/a/x").origin, "none");
    }
    instance.observe([V1, OTHER], 1000);
    joinHistory(instance, settled, {});
    t.deepEqual(instance.find("x", "/a/x").origin, ORIGIN);
});

test("routes: a peer whose routes have just changed covers only the time since then", t => {
    const [settled, instance] = [
        createSettled([{ ...ROUTE, backends: ONLY_OTHER }]),
        OriginsHarness.create(),
    ];
    settled.setRoutes([ROUTE]);
    settled.observe([V1, OTHER], 1000);
    instance.setRoutes([ROUTE]);
    instance.observe([V1, OTHER], 1000);
    joinHistory(instance, settled, {});
    t.is(instance.find("x", "/a/x").origin, "none");
});

// A change that is read after a gap may have come into force at any time in it.
test("routes: after a gap, a longer time-out counts for all streams", t => {
    const LONG = { ...ROUTE, timeoutMs: 30_000 };
    const [settled, instance] = [createSettled([LONG]), createSettled([{ ...ROUTE, timeoutMs: 2000 }])];
    settled.observe([V1, OTHER], 40_000);
    instance.now += 4000;
    instance.setRoutes([LONG]);
    instance.observe([V1, OTHER], 1000);
    joinHistory(instance, settled, { versions: [["s", "v1", 0], ["s", "v0", 20_000]] });
    t.is(instance.find("x", "/a/x").origin, "none");
});

test("routes: beyond 64 changes within a stream's time the oldest are forgotten, and origins unknown until their streams have ended", t => {
    const instance = createSettled();
    for (let i = 0; i < 65; i += 1) {
        instance.setRoutes([ROUTE, { pathPrefix: `/b${i}/` }]);
    }
    t.is(instance.find("x", "/a/x").origin, "none");
    instance.observe([V1, OTHER], WINDOW_MS + 500);
    t.deepEqual(instance.find("x", "/a/x").origin, ORIGIN);
});
