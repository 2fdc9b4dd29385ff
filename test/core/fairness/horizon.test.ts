import test from "ava";
import { computeHorizonSlack } from "../../../src/core/fairness/computeHorizonSlack.js";
import { horizonLimits } from "../../../src/core/fairness/horizonLimits.js";
import type { LevelTrend } from "../../../src/core/fairness/levelTrend.js";
import { observeLevel } from "../../../src/core/fairness/observeLevel.js";

function observeRate(tokensPerSecond: number): LevelTrend | undefined {
    let trend: LevelTrend | undefined;
    for (let now = 0; now <= 20_000; now += 250) {
        trend = observeLevel(trend, tokensPerSecond * now / 1000, now);
    }
    return trend;
}

test("scales the horizon slack with the service rate, so that it covers the same time in slow and fast fleets", t => {
    const [slow, fast] = [computeHorizonSlack(observeRate(100)), computeHorizonSlack(observeRate(1000))];
    t.true(Math.abs(fast / slow - 10) < 0.001);
    t.true(slow >= 100 && slow <= 1000);
    t.is(computeHorizonSlack(observeRate(1_000_000)), horizonLimits.max);
    t.is(computeHorizonSlack(observeRate(1)), horizonLimits.min);
    t.is(computeHorizonSlack(undefined), horizonLimits.min);
});

test("excludes service received while no account waits from the horizon slack", t => {
    const before = observeRate(200);
    const idle = observeLevel(before, undefined, 60_000);
    t.is(computeHorizonSlack(idle), computeHorizonSlack(before));
    t.is(computeHorizonSlack(observeLevel(idle, 50_000, 60_250)), computeHorizonSlack(before));
});
