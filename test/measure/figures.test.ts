import test from "ava";
import { computeGaps } from "../../src/measure/computeGaps.js";
import { computeSlope } from "../../src/measure/computeSlope.js";
import { computeSlotPeak } from "../../src/measure/computeSlotPeak.js";
import { computeUse } from "../../src/measure/computeUse.js";
import { countStarved } from "../../src/measure/countStarved.js";
import { planFaults } from "../../src/measure/faultTrial/planFaults.js";
import type { FleetSample } from "../../src/measure/fleetSample.js";
import { createRandom } from "../../src/standIns/client/createRandom.js";

const samples: readonly FleetSample[] = [0, 1, 2, 3, 4, 5, 6].map(second => ({
    atMs: second * 1000,
    tokensByAccount: new Map([["large", 500 + 40 * second], ["small", 4 * second], ["starved", 7]]),
    running: new Map([["e", 6]]),
    bearable: new Map([["e", 8]]),
}));

test("computeGaps divides by the weight and ignores service before the first sample", t => {
    const gaps = computeGaps(samples, { large: 4, small: 1 });
    t.deepEqual(gaps.map(point => point.gap), [0, 6, 12, 18, 24, 30, 36]);
    t.is(computeSlope(gaps.map(point => [point.atSeconds, point.gap])), 6);
});

test("countStarved counts an account that is served nothing for five seconds", t => {
    t.is(countStarved(samples, ["large", "small", "starved"]), 1);
});

test("computeUse counts idle slots only up to the number of waiting requests", t => {
    t.deepEqual(computeUse(samples, ["e"], () => 1), { utilisation: 0.75, idleWhileWaitingShare: 0.125 });
    t.deepEqual(computeUse(samples, ["e"], () => 0), { utilisation: undefined, idleWhileWaitingShare: 0 });
});

test("computeSlotPeak counts a slot that is released and reused at once as one slot", t => {
    const uses = [[0, 10], [5, 15], [10, 20], [30, undefined]].map(([startMs, endMs]) => ({
        account: "a",
        startMs: startMs ?? 0,
        endMs,
        tokens: 7,
    }));
    const other = { account: "b", startMs: 0, endMs: 100, tokens: 9 };
    t.deepEqual(computeSlotPeak([...uses, other], 0, 50), { slots: 2, cost: 9 });
    t.deepEqual(computeSlotPeak([...uses, other], 25, 50), { slots: 1, cost: 9 });
});

test("planFaults returns the same plan for the same seed", t => {
    const plan = (seed: number): unknown =>
        planFaults({
            daemons: ["d0", "d1"],
            targets: ["t0", "t1"],
            regions: ["r"],
            durationMs: 20_000,
            random: createRandom(seed),
        });
    t.deepEqual(plan(7), plan(7));
    t.notDeepEqual(plan(7), plan(8));
});
