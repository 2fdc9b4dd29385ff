import test from "ava";
import { planNextAttempt } from "../../../src/core/routing/planNextAttempt.js";

const CONTEXT = { isRepeatable: false, runs: 0, attempts: 1, maxRuns: 2, now: 0, deadline: 1000 };

test("does not retry a non-repeatable request that a target may have executed", t => {
    t.is(planNextAttempt({ ...CONTEXT, runs: 1 }), "not-repeatable");
});

test("retries a non-repeatable request that no target executed", t => {
    t.is(planNextAttempt(CONTEXT), "retry");
});

test("retries a repeatable request up to the limit of its route", t => {
    t.is(planNextAttempt({ ...CONTEXT, isRepeatable: true, runs: 1 }), "retry");
    t.is(planNextAttempt({ ...CONTEXT, isRepeatable: true, runs: 2 }), "no-attempt");
});

test("does not retry past the deadline or the limit of attempts", t => {
    t.is(planNextAttempt({ ...CONTEXT, now: 1000 }), "no-time");
    t.is(planNextAttempt({ ...CONTEXT, attempts: 5 }), "no-attempt");
});
