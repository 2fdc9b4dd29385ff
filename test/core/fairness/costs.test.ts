import test from "ava";
import fc from "fast-check";
import { computeGapBound } from "../../../src/core/fairness/computeGapBound.js";
import type { CostHistory } from "../../../src/core/fairness/costHistory.js";
import { estimateCost } from "../../../src/core/fairness/estimateCost.js";
import { updateCostHistory } from "../../../src/core/fairness/updateCostHistory.js";

test("does not lower the estimate for hints that are ten times too low or too high", t => {
    for (const factor of [0.1, 10]) {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 100, max: 4000 }), { minLength: 1 }), costs => {
                let history: CostHistory | undefined;
                for (const cost of costs) {
                    history = updateCostHistory(history, cost, cost * factor);
                }
                const average = history?.averageCost ?? 0;
                const lowestHint = Math.min(...costs) * factor;
                const estimate = estimateCost(history, average * factor, 500);
                return estimate >= average * 0.999 && estimateCost(history, lowestHint, 500) <= average;
            }),
            { seed: 20261204 },
        );
    }
    t.is(estimateCost(undefined, 1, 500), 500);
});

test("caps the estimate at the hint of an account whose hints were accurate", t => {
    t.is(estimateCost({ averageCost: 800, hintRatio: 0.9 }, 200, 500), 200);
});

test("computes the gap bound by the formula of the design page", t => {
    const bound = computeGapBound({
        horizon: 100,
        slotsPerAccount: 3,
        maxCost: 50,
        minShare: 0.5,
        tokensPerSecond: 1000,
        depth: 2,
        exchangeIntervalMs: 500,
    });
    t.is(bound, 100 + 600 + 5000);
});
