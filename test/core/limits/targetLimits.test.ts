import test from "ava";
import { TargetLimits } from "../../../src/core/limits/targetLimits.js";

const NONE = { kind: "none" } as const;
const named = (perSecond: number): { readonly kind: "named"; readonly perSecond: number; } => ({
    kind: "named",
    perSecond,
});

// Responses on several connections arrive in any order: one from before the limit was named must not lift it.
test("lifts a limit only by a response to a request that was sent after the limit was last named", t => {
    const limits = TargetLimits.create();
    t.true(limits.observe("t", named(5), 900, 1000));
    t.false(limits.observe("t", NONE, 950, 1100));
    t.is(limits.get("t"), 5);
    t.true(limits.observe("t", NONE, 1000, 1200));
    t.is(limits.get("t"), undefined);
});

test("keeps a known limit when a response names an unreadable one, and takes none from it otherwise", t => {
    const limits = TargetLimits.create();
    const invalid = { kind: "invalid", reason: "unreadable" } as const;
    t.false(limits.observe("t", invalid, 0, 0));
    t.is(limits.get("t"), undefined);
    limits.observe("t", named(5), 0, 10);
    t.false(limits.observe("t", invalid, 20, 30));
    t.is(limits.get("t"), 5);
});

test("sends a target that takes nothing one request in four seconds, and divides no limit beyond a thousand", t => {
    const limits = TargetLimits.create();
    limits.observe("t", named(0), 0, 0);
    t.is(limits.get("t"), 0.25);
    limits.observe("t", named(999_999_999), 0, 0);
    t.is(limits.get("t"), 1000);
    limits.adopt([["t", 1e12, 0], ["u", 0, 0]], 1);
    t.is(limits.get("t"), 1000);
    t.is(limits.get("u"), 0.25);
});

test("prefers what was observed last, here or by a peer, and corrects a peer that knows an older limit", t => {
    const limits = TargetLimits.create();
    limits.observe("t", named(5), 0, 1000);
    for (let i = 0; i < 5; i += 1) {
        limits.takeNews("instance", 1000);
    }
    limits.observe("t", NONE, 1100, 1200);
    for (let i = 0; i < 5; i += 1) {
        limits.takeNews("instance", 1200);
    }
    t.deepEqual(limits.takeNews("instance", 1300), []);
    t.deepEqual(limits.adopt([["t", 5, 300]], 1400), []);
    t.is(limits.get("t"), undefined);
    t.deepEqual(limits.takeNews("instance", 1400), [["t", null, 200]]);
    t.deepEqual(limits.adopt([["t", 3, 50]], 1400), ["t"]);
    t.is(limits.get("t"), 3);
});

test("tells a change in several reports of each scope, and every limit again in rotation", t => {
    const limits = TargetLimits.create();
    const targets = Array.from({ length: 20 }, (_, i) => `t${i}`);
    targets.forEach(target => limits.observe(target, named(5), 0, 0));
    for (const scope of ["instance", "local-summary", "data-centre"] as const) {
        t.is(limits.takeNews(scope, 0).length, 20, scope);
        t.is(limits.takeNews(scope, 0).length, 20, scope);
    }
    for (let i = 0; i < 3; i += 1) {
        limits.takeNews("instance", 0);
    }
    const repeated = Array.from({ length: 6 }, () => limits.takeNews("instance", 0));
    t.true(repeated.every(news => news.length < 10));
    t.is(new Set(repeated.flat().map(([target]) => target)).size, targets.length);
    limits.keep(new Set(["t1"]));
    t.is(limits.count(), 1);
});
