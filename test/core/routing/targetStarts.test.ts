import test from "ava";
import { TargetStarts } from "../../../src/core/routing/targetStarts.js";

const TARGET = { id: "t", startedAtMs: 1000, sequence: 3 };
const RESTARTED = { ...TARGET, startedAtMs: 2000, sequence: 1 };

function createStarts(): { readonly starts: TargetStarts; readonly restarts: number[]; } {
    const restarts: number[] = [];
    const starts = TargetStarts.create({
        onRestarted: (_, namedStartMs) => restarts.push(namedStartMs),
        onUnnamed: () => undefined,
    });
    return { starts, restarts };
}

// The list shows the start before until the target registers again.
test("takes a target that names another start for restarted until its registration shows that start", t => {
    const { starts, restarts } = createStarts();
    t.is(starts.recordAnswer(TARGET, 1000), "registered");
    t.true(starts.mayGoOn(TARGET));
    t.is(starts.recordAnswer(TARGET, 2000), "restarted");
    t.is(starts.recordAnswer(TARGET, 2000), "restarted");
    t.deepEqual(restarts, [2000]);
    starts.observeTargets([{ ...TARGET, sequence: 4 }]);
    t.true(starts.isRestarted(TARGET));
    t.false(starts.mayGoOn(TARGET));
    starts.observeTargets([RESTARTED]);
    t.false(starts.isRestarted(RESTARTED));
    t.true(starts.mayGoOn(RESTARTED));
});

test("goes by broken connections if a target names no start", t => {
    const { starts } = createStarts();
    t.is(starts.recordAnswer(TARGET, undefined), "unknown");
    t.true(starts.mayGoOn(TARGET));
    starts.recordBreak(TARGET, 100);
    t.true(starts.hasBroken(TARGET));
    t.false(starts.mayGoOn(TARGET));
    // This registration may have been made before the connection broke.
    starts.recordConfirmation(99);
    starts.observeTargets([{ ...TARGET, sequence: 4 }]);
    t.false(starts.mayGoOn(TARGET));
    starts.recordConfirmation(100);
    starts.observeTargets([{ ...TARGET, sequence: 5 }]);
    t.true(starts.mayGoOn(TARGET));
});

test("ends the doubt of a broken connection once a target that crashed then is listed again or removed", t => {
    const { starts } = createStarts();
    starts.recordAnswer(TARGET, undefined);
    starts.recordBreak(TARGET, 100);
    starts.recordConfirmation(6099);
    t.false(starts.mayGoOn(TARGET));
    starts.recordConfirmation(6100);
    t.true(starts.mayGoOn(TARGET));
    starts.recordBreak(TARGET, 7000);
    starts.observeTargets([]);
    t.true(starts.mayGoOn(TARGET));
});

test("a broken connection alone does not keep streams from a target that names its start", t => {
    const { starts } = createStarts();
    starts.recordBreak(TARGET, 100);
    t.true(starts.mayGoOn(TARGET));
    t.is(starts.recordAnswer(TARGET, 1000), "registered");
    t.false(starts.hasBroken(TARGET));
});

test("takes a registration without a start for one that says nothing of the process", t => {
    const { starts } = createStarts();
    t.is(starts.recordAnswer({ ...TARGET, startedAtMs: 0 }, 1000), "unknown");
});
