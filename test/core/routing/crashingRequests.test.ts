import test from "ava";
import { CrashDetector } from "../../../src/core/routing/crashDetector.js";
import type { CrashRecord } from "../../../src/core/routing/crashRecord.js";
import { makeCrashSubject } from "../../testing/crashes/makeCrashSubject.js";
import { createCrashRecord } from "../../testing/createCrashRecord.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const BAD = makeCrashSubject("bad");
const SOUND = makeCrashSubject("sound");
const LARGE_BYTES = 4_194_304;

/** Creates a record, and a function that lets a target crash while it serves the requests. */
function createInstance(): {
    record: CrashRecord;
    detector: CrashDetector;
    crash: (targetId: string, subjects: readonly typeof BAD[], sentAt: number, now: number) => void;
} {
    const record = createCrashRecord();
    const detector = CrashDetector.create({
        crashRecord: record,
        onCrash: () => undefined,
        onBroken: () => undefined,
    });
    return {
        record,
        detector,
        crash: (targetId, subjects, sentAt, now) => {
            for (const { fingerprint } of subjects) {
                const response = { keys: [fingerprint.key], sentAt, mayBeComplete: false };
                detector.recordEnd(makeTargetDescriptor(targetId), response, now);
            }
            detector.recordGone(targetId, now);
        },
    };
}

test("tells requests apart by path with query, client account, body and prompt, and by nothing else", t => {
    const own = [{ id: "shared", tokens: 1 }, { id: "own", tokens: 1 }];
    const others = [
        makeCrashSubject("bad", { path: "/safe/y" }),
        makeCrashSubject("bad", { path: "/safe/x?q=1" }),
        makeCrashSubject("bad", { account: "a" }),
        makeCrashSubject("bad", { prompt: own }),
        makeCrashSubject("bae"),
        makeCrashSubject(""),
    ];
    const keys = [BAD, ...others].map(({ fingerprint }) => fingerprint.key);
    t.is(new Set(keys).size, keys.length);
    t.is(makeCrashSubject("bad").fingerprint.key, BAD.fingerprint.key);
});

// Copies of a request that crash their targets at the same time were counted once.
test("counts each target that copies of a request crash, and no target twice", t => {
    const { record, crash } = createInstance();
    crash("t1", [BAD, BAD], 900, 1000);
    crash("t2", [BAD], 905, 1005);
    t.is(record.findRefusal(BAD, 1005), undefined);
    crash("t3", [BAD], 910, 1010);
    t.is(record.findRefusal(BAD, 1010)?.reason, "crashing-request");
    t.is(record.findRefusal(SOUND, 1010), undefined);
});

// A popular request is being served by many targets of a data centre when that loses power.
test("counts targets that fail together once for a request with a complete response", t => {
    const { record, detector, crash } = createInstance();
    detector.recordComplete(record.listProvenKeys(SOUND), 0, 100);
    ["t1", "t2", "t3", "t4"].forEach((targetId, i) => crash(targetId, [SOUND], 900 + i, 1000 + i));
    t.is(record.findRefusal(SOUND, 1010), undefined);
});

test("learns from a peer that a request which it suspects has been served", t => {
    const [asking, proven] = [createInstance(), createInstance()];
    proven.detector.recordComplete(proven.record.listProvenKeys(SOUND), 0, 100);
    ["t1", "t2", "t3"].forEach((targetId, i) => asking.crash(targetId, [SOUND], 900 + i, 1000 + i));
    t.not(asking.record.findRefusal(SOUND, 1010), undefined);
    proven.record.adopt(asking.record.takeReport("peers", 1100) ?? [], true, 1130);
    t.is(proven.record.findRefusal(SOUND, 1130), undefined);
    asking.record.adopt(proven.record.takeReport("peers", 1200) ?? [], true, 1230);
    t.is(asking.record.findRefusal(SOUND, 1230), undefined);
});

test("does not count crashes from before a complete response that are reported after it", t => {
    const { record, detector } = createInstance();
    detector.recordComplete(record.listProvenKeys(SOUND), 4000, 5000);
    const reported = [3000, 2000, 1000].map(ageMs =>
        [SOUND.fingerprint.key, "crash", ageMs + 100, ageMs, `t${ageMs}`] as const
    );
    record.adopt(reported, true, 5500);
    t.is(record.findRefusal(SOUND, 5500), undefined);
    t.false(record.isSuspect(SOUND));
});

test("refuses a request that crashes its targets one after another although it was served before", t => {
    const { record, detector, crash } = createInstance();
    detector.recordComplete(record.listProvenKeys(BAD), 0, 100);
    ["t1", "t2", "t3"].forEach((targetId, i) => crash(targetId, [BAD], 1000 * i + 500, 1000 * i + 600));
    t.not(record.findRefusal(BAD, 3000), undefined);
});

test("serves a refused request again ten seconds later, once, and at once after a complete response", t => {
    const { record, detector, crash } = createInstance();
    ["t1", "t2", "t3"].forEach((targetId, i) => crash(targetId, [SOUND], 900 + i, 1000 + i));
    t.is(record.findRefusal(SOUND, 1100)?.until, 11_002);
    t.is(record.findRefusal(SOUND, 11_002), undefined);
    record.recordSent(SOUND, 11_002);
    t.not(record.findRefusal(SOUND, 11_003), undefined);
    detector.recordComplete(record.listProvenKeys(SOUND), 11_002, 11_050);
    t.is(record.findRefusal(SOUND, 11_050), undefined);
});

test("does not retry a request that has crashed two targets", t => {
    const { record, crash } = createInstance();
    crash("t1", [BAD], 900, 1000);
    t.false(record.isSuspect(BAD));
    crash("t2", [BAD], 1000, 1100);
    t.true(record.isSuspect(BAD));
});

// Hashing the largest bodies takes milliseconds.
test("hashes a large body only while a request of the same scope is suspected", t => {
    const { record, crash } = createInstance();
    let hashes = 0;
    const make = (letter: string): typeof BAD =>
        makeCrashSubject(letter.repeat(LARGE_BYTES), { onHash: () => hashes += 1 });
    t.deepEqual(record.listProvenKeys(make("a")), []);
    t.is(record.findRefusal(make("a"), 0), undefined);
    crash("t", [BAD], 900, 1000);
    record.listProvenKeys(make("a"));
    record.isSuspect(make("a"));
    t.is(hashes, 0, "the suspected request has another scope");
    crash("t", [make("b")], 900, 1000);
    t.is(hashes, 1);
    record.listProvenKeys(make("a"));
    t.is(hashes, 2);
});

test("confirms a crash by a later start at the address of the target, also while the target is listed", t => {
    const { record, detector } = createInstance();
    for (const [i, target] of ["t1", "t2", "t3"].map(id => makeTargetDescriptor(id)).entries()) {
        const at = 1000 * (i + 1);
        detector.recordEnd(
            target,
            { keys: [BAD.fingerprint.key], sentAt: at - 100, mayBeComplete: false },
            at,
        );
        detector.setTargets([target, { ...target, id: `${target.id}-later`, startedAtMs: 5 }], at + 50);
    }
    t.not(record.findRefusal(BAD, 4000), undefined);
});

test("forgets the oldest of thousands of requests first, and refused ones last", t => {
    const { record, crash } = createInstance();
    ["t1", "t2", "t3"].forEach((targetId, i) => crash(targetId, [BAD], 900 + i, 1000 + i));
    const others = Array.from({ length: 12_000 }, (_, i) => makeCrashSubject(`other ${i}`));
    for (let i = 0; i < others.length; i += 60) {
        crash(`u${i}`, others.slice(i, i + 60), 2000 + i, 2030 + i);
        crash(`v${i}`, others.slice(i, i + 60), 2040 + i, 2050 + i);
    }
    t.not(record.findRefusal(BAD, 9000), undefined);
    const remembered = others.filter(other => record.isSuspect(other)).length;
    t.true(remembered <= 6000, `${remembered} remembered`);
    t.true(others.slice(-1000).every(other => record.isSuspect(other)));
});
