import test from "ava";
import fc from "fast-check";
import { applyLoadReport } from "../../../src/core/lease/applyLoadReport.js";
import { computeBearable } from "../../../src/core/lease/computeBearable.js";
import { defaultLeaseTimings as timings } from "../../../src/core/lease/defaultLeaseTimings.js";
import { limitLoad } from "../../../src/core/lease/limitLoad.js";
import type { LoadState } from "../../../src/core/lease/loadState.js";

test("limits a cold target to its slow start for any sequence of reports", t => {
    const report = fc.record({
        epoch: fc.constantFrom("a", "b"),
        state: fc.constantFrom("cold", "warm"),
        bearable: fc.nat(64),
        delay: fc.nat(3000),
    });
    fc.assert(
        fc.property(fc.array(report), reports => {
            let state: LoadState | undefined;
            let now = 0;
            return reports.every(({ epoch, state: temperature, bearable, delay }, index) => {
                const before = state;
                now += delay;
                const next = { epoch, state: temperature, bearable, running: 0, measuredAtMs: index };
                state = applyLoadReport(before, next, now, 2, timings);
                const isCold = (temperature === "cold" && before?.report.state === "warm")
                    || before?.report.epoch !== epoch || delay > 2000;
                const ceiling = isCold ? 2 : Math.max(1, before.bearable * 2);
                return state.bearable === Math.min(bearable, ceiling);
            });
        }),
        { seed: 7, numRuns: 200 },
    );
    t.pass();
});

test("does not raise the load limit on a repeated measurement", t => {
    const report = { epoch: "a", state: "warm", running: 0, bearable: 32, measuredAtMs: 1 } as const;
    const state = applyLoadReport(undefined, report, 0, 2, timings);
    t.is(applyLoadReport(state, report, 250, 2, timings), state);
});

test("lowers the load limit without recent reports and after cold or busy responses", t => {
    const report = { epoch: "a", state: "warm", running: 0, bearable: 32, measuredAtMs: 1 } as const;
    const state: LoadState = { report, bearable: 32, requestedAt: 0 };
    t.is(computeBearable(undefined, 2, 0, timings), 2);
    t.is(computeBearable(state, 2, 2000, timings), 32);
    t.is(computeBearable(state, 2, 2001, timings), 2);
    t.is(limitLoad(state, "cold", 2, 0).bearable, 2);
    t.is(limitLoad(state, "busy", 2, 0).bearable, 16);
    const cold: LoadState = { ...state, report: { ...report, state: "cold" }, bearable: 8 };
    t.is(limitLoad(cold, "cold", 2, 0).bearable, 8);
    t.is(limitLoad(cold, "busy", 2, 0).bearable, 4);
});

test("does not raise the load limit by a report measured before a cold response", t => {
    const report = { epoch: "a", state: "warm", running: 0, bearable: 32, measuredAtMs: 1 } as const;
    const limited = limitLoad({ report, bearable: 32, requestedAt: 0 }, "cold", 2, 1000);
    const outdated = applyLoadReport(limited, { ...report, measuredAtMs: 2 }, 1249, 2, timings);
    t.is(outdated.bearable, 2);
    t.is(applyLoadReport(outdated, { ...report, measuredAtMs: 3 }, 1250, 2, timings).bearable, 4);
});
