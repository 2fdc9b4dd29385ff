import test from "ava";
import { findInactivity } from "../../../src/core/routing/findInactivity.js";
import { ProgressTracker } from "../../../src/core/routing/progressTracker.js";
import { RunningClock } from "../../../src/core/routing/runningClock.js";
import { TargetState } from "../../../src/core/routing/targetState.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const STREAM = { hasEvents: true, objectiveMs: 400, expectedFirstMs: 50, longFirstMs: 0, expectedPauseMs: 0 };
const UNANSWERED = {
    hasEvents: false,
    objectiveMs: 400,
    expectedFirstMs: 50,
    longFirstMs: 0,
    expectedPauseMs: 0,
};

test("ends a stream whose target sends a byte now and then, since only events and substantial data are progress", t => {
    const progress = ProgressTracker.create(0);
    progress.recordProgress(100);
    for (let now = 200; now <= 1300; now += 100) {
        progress.recordBytes(1, now);
    }
    t.is(findInactivity({ ...STREAM, inactiveMs: progress.getInactiveMs(1300) }), "stalled");
});

test("keeps a stream with a large event that arrives over a slow link", t => {
    const progress = ProgressTracker.create(0);
    progress.recordProgress(100);
    for (let now = 200; now <= 3000; now += 400) {
        progress.recordBytes(600, now);
        t.is(findInactivity({ ...STREAM, inactiveMs: progress.getInactiveMs(now + 399) }), undefined);
    }
});

test("keeps a stream whose caller reads slowly, since its target is not the one that is silent", t => {
    const progress = ProgressTracker.create(0);
    progress.recordProgress(100);
    progress.setBlocked(true, 200);
    t.is(findInactivity({ ...STREAM, inactiveMs: progress.getInactiveMs(5000) }), undefined);
    progress.setBlocked(false, 5000);
    t.is(findInactivity({ ...STREAM, inactiveMs: progress.getInactiveMs(6000) }), undefined);
    t.is(findInactivity({ ...STREAM, inactiveMs: progress.getInactiveMs(6300) }), "stalled");
});

test("allows a target the pauses that its sound responses usually have, but not beyond what callers bear", t => {
    t.is(findInactivity({ ...STREAM, inactiveMs: 1800, expectedPauseMs: 2000 }), undefined);
    t.is(findInactivity({ ...STREAM, inactiveMs: 2500, expectedPauseMs: 9000 }), "stalled");
});

test("overload: does not send a request to a second target while the first takes no longer than expected", t => {
    t.is(findInactivity({ ...UNANSWERED, inactiveMs: 700 }), "silent");
    t.is(findInactivity({ ...UNANSWERED, inactiveMs: 700, expectedFirstMs: 400 }), undefined);
    t.is(findInactivity({ ...UNANSWERED, inactiveMs: 1700, expectedFirstMs: 4000 }), "silent");
});

// A target that always takes 0.9 s counted as silent after 0.5 s with each request.
test("learns how long the responses of a target take, within what callers bear", t => {
    const target = TargetState.create(makeTargetDescriptor("t"), 0, 0);
    const find = (inactiveMs: number): string | undefined =>
        findInactivity({
            ...UNANSWERED,
            objectiveMs: 200,
            inactiveMs,
            longFirstMs: target.getLongResponseMs(),
        });
    t.is(find(900), "silent");
    for (let i = 0; i < 4; i += 1) {
        target.recordResponseTime(900);
    }
    t.is(find(900), undefined);
    t.is(find(1700), "silent");
    for (let i = 0; i < 100; i += 1) {
        target.recordResponseTime(900);
    }
    t.is(find(1200), undefined, "times that do not vary");
    for (let i = 0; i < 100; i += 1) {
        target.recordResponseTime(20);
    }
    t.is(find(600), "silent");
});

test("counts no time in which the process was suspended as the inactivity of a target", t => {
    const clock = RunningClock.create();
    const progress = ProgressTracker.create(clock.toRunningTime(1000));
    clock.recordDelay(4000);
    t.is(
        findInactivity({ ...STREAM, inactiveMs: progress.getInactiveMs(clock.toRunningTime(5040)) }),
        undefined,
    );
    t.is(
        findInactivity({ ...STREAM, inactiveMs: progress.getInactiveMs(clock.toRunningTime(6400)) }),
        "stalled",
    );
});
