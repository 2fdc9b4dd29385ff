import test from "ava";
import { SlidingRetryBudget } from "../../../src/core/routing/slidingRetryBudget.js";

test("retry storm: refuses retries beyond the ratio of the requests in the window", t => {
    const budget = SlidingRetryBudget.create({ ratio: 0.2, windowMs: 10_000 });
    Array.from({ length: 10 }, () => budget.addRequest(0));
    t.deepEqual([1, 2, 3].map(() => budget.tryTake(100)), [true, true, false]);
    t.false(budget.tryTake(10_101));
});

test("tells whether a retry is left without taking it", t => {
    const budget = SlidingRetryBudget.create({ ratio: 0.2, windowMs: 10_000 });
    t.false(budget.hasRetry(0));
    Array.from({ length: 5 }, () => budget.addRequest(0));
    t.deepEqual([budget.hasRetry(100), budget.hasRetry(100), budget.tryTake(100), budget.hasRetry(100)], [
        true,
        true,
        true,
        false,
    ]);
});
