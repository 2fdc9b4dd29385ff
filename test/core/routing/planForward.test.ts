import test from "ava";
import { planForward } from "../../../src/core/routing/planForward.js";

const FACTS = { isRepeatable: false, runs: 0, attempts: 1, maxRuns: 2, now: 0, deadline: 1000 };

test("a request that may have run once is never sent again if it must not run twice", t => {
    t.is(planForward({ ...FACTS, runs: 1 }), "fail");
});

test("a request that no target ran is sent again, also one that must not run twice", t => {
    t.is(planForward(FACTS), "retry");
});

test("a repeatable request does not run on more targets than its route allows", t => {
    t.is(planForward({ ...FACTS, isRepeatable: true, runs: 1 }), "retry");
    t.is(planForward({ ...FACTS, isRepeatable: true, runs: 2 }), "fail");
});

test("nothing is sent after the deadline or after too many refusals", t => {
    t.is(planForward({ ...FACTS, now: 1000 }), "fail");
    t.is(planForward({ ...FACTS, attempts: 5 }), "fail");
});
