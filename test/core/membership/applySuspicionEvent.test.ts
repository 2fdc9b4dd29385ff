import test from "ava";
import { applySuspicionEvent } from "../../../src/core/membership/applySuspicionEvent.js";
import type { SuspicionState } from "../../../src/core/membership/suspicionState.js";

function applyResults(results: readonly (readonly [number, boolean])[]): SuspicionState {
    return results.reduce<SuspicionState>(
        (state, [now, reached]) =>
            applySuspicionEvent(state, { type: "result", instance: "a", reached }, now).state,
        {},
    );
}

test("does not suspect an instance after failures within 1.5 s or fewer than three", t => {
    t.false(applyResults([[0, false], [10, false], [20, false], [1499, false]])["a"]?.suspected);
    t.false(applyResults([[0, false], [2000, false]])["a"]?.suspected);
});

test("suspects an instance that fails for 1.5 s until a call reaches it", t => {
    const state = applyResults([[0, false], [700, false], [1500, false]]);
    t.true(state["a"]?.suspected);
    const cleared = applySuspicionEvent(state, { type: "result", instance: "a", reached: true }, 1600);
    t.deepEqual(cleared, { state: {}, effects: [{ type: "cleared", instance: "a" }] });
});

test("backs off the probes of a suspected instance but never stops them", t => {
    let state = applyResults([[0, false], [700, false], [1500, false]]);
    const intervals = Array.from({ length: 8 }, () => {
        state = applySuspicionEvent(state, { type: "probed", instance: "a" }, 0).state;
        state = applySuspicionEvent(state, { type: "result", instance: "a", reached: false }, 0).state;
        return state["a"]?.nextProbeAt;
    });
    t.deepEqual(intervals, [500, 1000, 2000, 4000, 8000, 8000, 8000, 8000]);
});

test("drops the suspicion of an instance that is no longer listed", t => {
    const state = applyResults([[0, false], [700, false], [1500, false]]);
    t.deepEqual(applySuspicionEvent(state, { type: "listed", instances: new Set() }, 1600).state, {});
});
