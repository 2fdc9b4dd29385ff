import test from "ava";
import { planForward } from "../../../src/core/routing/planForward.js";

const FACTS = { isRepeatable: false, runs: 0, attempts: 1, maxRuns: 2, now: 0, deadline: 1000 };

test("does not retry a non-repeatable request that a target may have executed", t => {
    t.is(planForward({ ...FACTS, runs: 1 }), "fail");
});

test("retries a non-repeatable request that no target executed", t => {
    t.is(planForward(FACTS), "retry");
});

test("retries a repeatable request up to the limit of its route", t => {
    t.is(planForward({ ...FACTS, isRepeatable: true, runs: 1 }), "retry");
    t.is(planForward({ ...FACTS, isRepeatable: true, runs: 2 }), "fail");
});

test("does not retry past the deadline or the limit of attempts", t => {
    t.is(planForward({ ...FACTS, now: 1000 }), "fail");
    t.is(planForward({ ...FACTS, attempts: 5 }), "fail");
});
