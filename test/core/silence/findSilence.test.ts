import test from "ava";
import { findSilence } from "../../../src/core/silence/findSilence.js";
import { TargetActivity } from "../../../src/core/silence/targetActivity.js";

const ATTEMPT = {
    hasEvents: false,
    objectiveMs: 800,
    expectedFirstMs: 100,
    longFirstMs: 0,
    expectedPauseMs: 0,
};

/** Creates the activity of a target at which attempts wait that are expected to take 100 ms, since the given times. */
function createActivity(startTimes: readonly number[], getExpectedMs = () => 100): TargetActivity {
    const activity = TargetActivity.create();
    startTimes.forEach((startedAt, i) => activity.add({ i }, { startedAt, getExpectedMs }));
    return activity;
}

// Each request at a dead target waited for its own 1.2 s, the last ones in vain.
test("target without a byte: a later request is sent elsewhere after 100 ms, and the first one after 1.3 s", t => {
    const activity = createActivity([0, 1250]);
    t.is(findSilence({ ...ATTEMPT, activity, inactiveMs: 1290, now: 1290 }), "silent");
    const find = (inactiveMs: number, now: number): string | undefined =>
        findSilence({ ...ATTEMPT, expectedFirstMs: 900, activity, inactiveMs, now });
    t.is(find(1290, 1290), undefined);
    t.is(find(1300, 1300), "unresponsive");
    t.is(find(50, 1300), undefined);
    t.is(find(100, 1350), "unresponsive");
});

// A pause of the whole target, as of one that shares its machine, must not move all of its requests.
test("target that is silent for 1 s and then continues: none of its requests is sent elsewhere sooner", t => {
    const activity = createActivity([0, 500, 900]);
    for (let now = 0; now <= 1000; now += 50) {
        t.is(findSilence({ ...ATTEMPT, activity, inactiveMs: now, now }), undefined);
    }
    activity.recordAnswer(1000);
    t.is(activity.getOverdueMs(1001), 0);
    t.is(findSilence({ ...ATTEMPT, activity, inactiveMs: 700, now: 2200 }), undefined);
});

// A busy target answers others while it reads a long prompt.
test("busy target: answers to others, and the time that a long prompt takes, explain a silence", t => {
    const activity = createActivity([0]);
    for (let now = 0; now <= 3000; now += 1000) {
        activity.recordAnswer(now);
        t.is(findSilence({ ...ATTEMPT, activity, inactiveMs: 600, now: now + 999 }), undefined);
    }
    const reading = createActivity([0], () => 2000);
    t.is(findSilence({ ...ATTEMPT, activity: reading, inactiveMs: 1100, now: 3100 }), undefined);
    t.is(findSilence({ ...ATTEMPT, activity: reading, inactiveMs: 1100, now: 3200 }), "unresponsive");
});

// Attempts that have ended would make a target look silent that nobody waits for.
test("an attempt that has its first event, or has ended, tells nothing of its target", t => {
    const activity = TargetActivity.create();
    const attempt = {};
    activity.add(attempt, { startedAt: 0, getExpectedMs: () => 0 });
    t.is(activity.getOverdueMs(5000), 5000);
    activity.remove(attempt);
    t.is(activity.getOverdueMs(5000), 0);
});

// A part that is off must leave the limits as they are, also for a stream that pauses between its events.
test("off, or after the first event: only the attempt itself counts", t => {
    const activity = createActivity([0]);
    t.is(findSilence({ ...ATTEMPT, activity: undefined, inactiveMs: 1100, now: 5000 }), undefined);
    t.is(findSilence({ ...ATTEMPT, hasEvents: true, activity, inactiveMs: 1100, now: 5000 }), undefined);
});
