import test from "ava";
import { CrashDetector } from "../../../src/core/routing/crashDetector.js";
import type { CrashRecord } from "../../../src/core/routing/crashRecord.js";
import { createCrashRecord } from "../../testing/createCrashRecord.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const PROMPT = { prompt: ["base", "bad", "own"].map(id => ({ id, tokens: 1 })) };
const SOUND_PROMPT = { prompt: ["base", "own"].map(id => ({ id, tokens: 1 })) };

/** Creates an instance's record and detector, and a function that lets a target crash on a request. */
function createInstance(): {
    crashes: CrashRecord;
    detector: CrashDetector;
    crash: (keys: readonly string[], sentAt: number, now: number, targetId?: string) => void;
} {
    const crashes = createCrashRecord();
    const detector = CrashDetector.create({
        crashRecord: crashes,
        onCrash: () => undefined,
        onBroken: () => undefined,
    });
    return {
        crashes,
        detector,
        crash: (keys, sentAt, now, targetId = `t-${now}`) => {
            detector.recordEnd(makeTargetDescriptor(targetId), { keys, sentAt, mayBeComplete: false }, now);
            detector.recordGone(targetId, now);
        },
    };
}

test("blocks a part after three crashes one after another, and no part with a complete response in between", t => {
    const { crashes, crash, detector } = createInstance();
    for (const at of [1000, 2000, 3000]) {
        t.is(crashes.findRefusal(PROMPT, at), undefined);
        crash(["base", "bad"], at - 100, at);
        detector.recordComplete(["base"], at, at + 50);
    }
    t.not(crashes.findRefusal(PROMPT, 3000), undefined);
    t.is(crashes.findRefusal(SOUND_PROMPT, 3000), undefined);
});

// Crashes in quick succession leave no time for a complete response to the other parts of the crashing requests.
test("suspects no part with a complete response while the prompt has a part without any", t => {
    const { crashes, crash, detector } = createInstance();
    detector.recordComplete(["base"], 0, 500);
    [1000, 1200, 1400].forEach(at => crash(["base", "bad"], at - 100, at));
    t.not(crashes.findRefusal(PROMPT, 1400), undefined);
    t.is(crashes.findRefusal(SOUND_PROMPT, 1400), undefined);
});

test("blocks a part that crashes targets from some time on", t => {
    const { crashes, crash, detector } = createInstance();
    detector.recordComplete(["base", "bad"], 0, 500);
    for (const at of [1000, 2000, 3000]) {
        crash(["base", "bad"], at - 100, at);
        detector.recordComplete(["base"], at, at + 50);
    }
    t.not(crashes.findRefusal(PROMPT, 3100), undefined);
    t.is(crashes.findRefusal(SOUND_PROMPT, 3100), undefined);
});

// Targets of a data centre that lose power together break many requests with the same parts at once.
test("counts targets that crash together once", t => {
    const { crashes, crash } = createInstance();
    for (let i = 0; i < 10; i += 1) {
        crash(["base"], 900 + i, 1000 + i);
    }
    t.is(crashes.findRefusal(SOUND_PROMPT, 1100), undefined);
});

test("counts no broken connection of a target that has not crashed", t => {
    const { crashes, detector } = createInstance();
    const target = makeTargetDescriptor("t");
    for (const at of [1000, 2000, 3000, 4000]) {
        const response = { keys: ["bad"], sentAt: at - 100, mayBeComplete: false };
        detector.recordEnd(target, response, at);
        detector.setTargets([target], at);
        detector.expire(at);
    }
    t.is(crashes.findRefusal(PROMPT, 4000), undefined);
});

test("takes a broken response of a target that has not crashed for no complete one", t => {
    const { crashes, crash, detector } = createInstance();
    crash(["bad"], 900, 1000);
    crash(["bad"], 1900, 2000);
    const response = { keys: ["bad"], sentAt: 2400, mayBeComplete: false };
    detector.recordEnd(makeTargetDescriptor("other"), response, 2500);
    detector.expire(9000);
    crash(["bad"], 9900, 10_000);
    t.not(crashes.findRefusal(PROMPT, 10_000), undefined);
});

test("confirms a crash by the removal or the restart of the target", t => {
    const { crashes, detector } = createInstance();
    const lists = [[], [makeTargetDescriptor("t", { startedAtMs: 5 })], []];
    lists.forEach((list, i) => {
        const at = 1000 * (i + 1);
        const response = { keys: ["bad"], sentAt: at - 100, mayBeComplete: false };
        detector.recordEnd(makeTargetDescriptor("t"), response, at);
        detector.setTargets(list, at + 500);
    });
    t.not(crashes.findRefusal(PROMPT, 4000), undefined);
});

// A response without a length ends with its connection, whether the target has completed it or has crashed.
test("takes a response that ends with its connection for complete only if its target has not crashed", t => {
    const { crashes, crash, detector } = createInstance();
    const target = makeTargetDescriptor("other");
    const end = (at: number): void =>
        detector.recordEnd(target, { keys: ["bad"], sentAt: at - 100, mayBeComplete: true }, at);
    crash(["bad"], 900, 1000);
    crash(["bad"], 1900, 2000);
    end(3000);
    detector.recordGone("other", 3100);
    t.not(crashes.findRefusal(PROMPT, 3100), undefined);
    end(4000);
    detector.expire(10_000);
    t.is(crashes.findRefusal(PROMPT, 10_000), undefined);
});

test("counts crashes seen by other instances, each once, and lets a complete response anywhere clear a part", t => {
    const instances = Array.from({ length: 4 }, createInstance);
    const [first, , , last] = instances;
    if (!first || !last) {
        t.fail("too few instances");
        return;
    }
    const exchange = (now: number): void => {
        for (const sender of instances) {
            const report = sender.crashes.takeReport("peers", now) ?? [];
            instances.filter(other => other !== sender).forEach(({ crashes }) =>
                crashes.adopt(report, true, now + 30)
            );
        }
    };
    for (let i = 0; i < 3; i += 1) {
        const at = 1000 * (i + 1);
        t.true(instances.every(({ crashes }) => crashes.findRefusal(PROMPT, at) === undefined));
        // Two instances see each crash.
        instances[i]?.crash(["base", "bad"], at - 100, at, `t-${i}`);
        instances[i + 1]?.crash(["base", "bad"], at - 300, at + 10, `t-${i}`);
        exchange(at + 150);
    }
    t.true(instances.every(({ crashes }) => crashes.findRefusal(PROMPT, 4000) !== undefined));
    first.detector.recordComplete(["base"], 3900, 4000);
    exchange(4100);
    t.true(instances.every(({ crashes }) => crashes.findRefusal(SOUND_PROMPT, 4200) === undefined));
    t.true(instances.every(({ crashes }) => crashes.findRefusal(PROMPT, 4200) !== undefined));
    // An instance that starts later learns from the repeated reports.
    const started = createCrashRecord();
    started.adopt(last.crashes.takeReport("peers", 5300) ?? [], true, 5330);
    t.not(started.findRefusal(PROMPT, 5400), undefined);
});

// A part that is refused although it is harmless must be served again; one that crashes its targets must not go on.
test("tries a blocked part again after sixty times its last pause, and blocks it for longer after each crash", t => {
    const { crashes, crash, detector } = createInstance();
    [1000, 2000, 3000].forEach(at => crash(["bad"], at - 100, at));
    t.is(crashes.findRefusal(PROMPT, 4000)?.until, 57_000);
    t.not(crashes.findRefusal(PROMPT, 56_999), undefined);
    t.is(crashes.findRefusal(PROMPT, 57_000), undefined);
    crashes.recordSent(PROMPT, 57_000);
    t.not(crashes.findRefusal(PROMPT, 57_001), undefined, "one trial at a time");
    crash(["bad"], 57_000, 57_100);
    t.is(crashes.findRefusal(PROMPT, 57_200)?.until, 57_100 + 54_000 * 60);
    detector.recordComplete(["bad"], 57_000, 57_300);
    t.is(crashes.findRefusal(PROMPT, 57_300), undefined);
});

test("forgets the crashes of a part ten minutes after the last one, or after its next trial", t => {
    const { crashes, crash, detector } = createInstance();
    [1000, 2000].forEach(at => crash(["once"], at - 100, at));
    [1000, 2000, 3000].forEach(at => crash(["bad"], at - 100, at));
    detector.recordComplete(["other"], 602_000, 602_000);
    t.false(crashes.isSuspect({ prompt: ["once", "own"].map(id => ({ id, tokens: 1 })) }));
    t.true(crashes.isSuspect(PROMPT));
    detector.recordComplete(["other"], 657_000, 657_000);
    t.false(crashes.isSuspect(PROMPT));
});
