import test from "ava";
import { CrashDetector } from "../../../src/core/routing/crashDetector.js";
import { PromptCrashes } from "../../../src/core/routing/promptCrashes.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const PROMPT = ["base", "bad", "own"].map(id => ({ id, tokens: 1 }));
const SOUND_PROMPT = ["base", "own"].map(id => ({ id, tokens: 1 }));

function createCrashes(): PromptCrashes {
    return PromptCrashes.create({ onBlockedChanged: () => undefined });
}

/** Creates an instance's record and detector, and a function that lets a target crash on a request. */
function createInstance(): {
    crashes: PromptCrashes;
    detector: CrashDetector;
    crash: (partIds: readonly string[], sentAt: number, now: number) => void;
} {
    const crashes = createCrashes();
    const detector = CrashDetector.create({ promptCrashes: crashes, onCrash: () => undefined });
    return {
        crashes,
        detector,
        crash: (partIds, sentAt, now) => {
            detector.recordEnd(makeTargetDescriptor("t"), { partIds, sentAt, mayBeComplete: false }, now);
            detector.recordGone("t", now);
        },
    };
}

test("blocks a part after three crashes one after another, and no part with a complete response in between", t => {
    const { crashes, crash, detector } = createInstance();
    for (const at of [1000, 2000, 3000]) {
        t.is(crashes.findBlockedUntil(PROMPT, at), undefined);
        crash(["base", "bad"], at - 100, at);
        detector.recordComplete(["base"], at, at + 50);
    }
    t.not(crashes.findBlockedUntil(PROMPT, 3000), undefined);
    t.is(crashes.findBlockedUntil(SOUND_PROMPT, 3000), undefined);
});

// Crashes in quick succession leave no time for a complete response to the other parts of the crashing requests.
test("suspects no part with a complete response while the prompt has a part without any", t => {
    const { crashes, crash, detector } = createInstance();
    detector.recordComplete(["base"], 0, 500);
    [1000, 1200, 1400].forEach(at => crash(["base", "bad"], at - 100, at));
    t.not(crashes.findBlockedUntil(PROMPT, 1400), undefined);
    t.is(crashes.findBlockedUntil(SOUND_PROMPT, 1400), undefined);
});

test("blocks a part that crashes targets from some time on", t => {
    const { crashes, crash, detector } = createInstance();
    detector.recordComplete(["base", "bad"], 0, 500);
    for (const at of [1000, 2000, 3000]) {
        crash(["base", "bad"], at - 100, at);
        detector.recordComplete(["base"], at, at + 50);
    }
    t.not(crashes.findBlockedUntil(PROMPT, 3100), undefined);
    t.is(crashes.findBlockedUntil(SOUND_PROMPT, 3100), undefined);
});

// Targets of a data centre that lose power together break many requests with the same parts at once.
test("counts targets that crash together once", t => {
    const { crashes, crash } = createInstance();
    for (let i = 0; i < 10; i += 1) {
        crash(["base"], 900 + i, 1000 + i);
    }
    t.is(crashes.findBlockedUntil(SOUND_PROMPT, 1100), undefined);
});

test("counts no broken connection of a target that has not crashed", t => {
    const { crashes, detector } = createInstance();
    const target = makeTargetDescriptor("t");
    for (const at of [1000, 2000, 3000, 4000]) {
        const response = { partIds: ["bad"], sentAt: at - 100, mayBeComplete: false };
        detector.recordEnd(target, response, at);
        detector.setTargets([target], at);
        detector.expire(at);
    }
    t.is(crashes.findBlockedUntil(PROMPT, 4000), undefined);
});

test("takes a broken response of a target that has not crashed for no complete one", t => {
    const { crashes, crash, detector } = createInstance();
    crash(["bad"], 900, 1000);
    crash(["bad"], 1900, 2000);
    const response = { partIds: ["bad"], sentAt: 2400, mayBeComplete: false };
    detector.recordEnd(makeTargetDescriptor("other"), response, 2500);
    detector.expire(9000);
    crash(["bad"], 9900, 10_000);
    t.not(crashes.findBlockedUntil(PROMPT, 10_000), undefined);
});

test("confirms a crash by the removal or the restart of the target", t => {
    const { crashes, detector } = createInstance();
    const lists = [[], [makeTargetDescriptor("t", { startedAtMs: 5 })], []];
    lists.forEach((list, i) => {
        const at = 1000 * (i + 1);
        const response = { partIds: ["bad"], sentAt: at - 100, mayBeComplete: false };
        detector.recordEnd(makeTargetDescriptor("t"), response, at);
        detector.setTargets(list, at + 500);
    });
    t.not(crashes.findBlockedUntil(PROMPT, 4000), undefined);
});

// A response without a length ends with its connection, whether the target has completed it or has crashed.
test("takes a response that ends with its connection for complete only if its target has not crashed", t => {
    const { crashes, crash, detector } = createInstance();
    const target = makeTargetDescriptor("other");
    const end = (at: number): void =>
        detector.recordEnd(target, { partIds: ["bad"], sentAt: at - 100, mayBeComplete: true }, at);
    crash(["bad"], 900, 1000);
    crash(["bad"], 1900, 2000);
    end(3000);
    detector.recordGone("other", 3100);
    t.not(crashes.findBlockedUntil(PROMPT, 3100), undefined);
    end(4000);
    detector.expire(10_000);
    t.is(crashes.findBlockedUntil(PROMPT, 10_000), undefined);
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
            const report = sender.crashes.takePending(now) ?? [];
            instances.filter(other => other !== sender).forEach(({ crashes }) =>
                crashes.adopt(report, true, now + 30)
            );
        }
    };
    for (let i = 0; i < 3; i += 1) {
        const at = 1000 * (i + 1);
        t.true(instances.every(({ crashes }) => crashes.findBlockedUntil(PROMPT, at) === undefined));
        // Two instances see each crash.
        instances[i]?.crash(["base", "bad"], at - 100, at);
        instances[i + 1]?.crash(["base", "bad"], at - 300, at + 10);
        exchange(at + 150);
    }
    t.true(instances.every(({ crashes }) => crashes.findBlockedUntil(PROMPT, 4000) !== undefined));
    first.detector.recordComplete(["base"], 3900, 4000);
    exchange(4100);
    t.true(instances.every(({ crashes }) => crashes.findBlockedUntil(SOUND_PROMPT, 4200) === undefined));
    t.true(instances.every(({ crashes }) => crashes.findBlockedUntil(PROMPT, 4200) !== undefined));
    // An instance that starts later learns from the repeated reports.
    const started = createCrashes();
    started.adopt(last.crashes.takePending(5300) ?? [], true, 5330);
    t.not(started.findBlockedUntil(PROMPT, 5400), undefined);
});

test("does not block a part for ever, and forgets its crashes", t => {
    const { crashes, crash } = createInstance();
    [1000, 2000, 3000].forEach(at => crash(["bad"], at - 100, at));
    t.is(crashes.findBlockedUntil(PROMPT, 4000), 603_000);
    t.is(crashes.findBlockedUntil(PROMPT, 603_000), undefined);
    crash(["bad"], 603_900, 604_000);
    t.is(crashes.findBlockedUntil(PROMPT, 604_000), undefined);
});
