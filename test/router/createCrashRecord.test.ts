import test from "ava";
import { createCrashRecord } from "../../src/router/createCrashRecord.js";
import type { LogSink } from "../../src/router/logSink.js";
import { makeCrashSubject } from "../testing/crashes/makeCrashSubject.js";

const INSTANCES = 300;
const LOG = { write: () => undefined } as unknown as LogSink;

// If all instances tried a refused request at the same moment, its copies would crash many targets.
test("spreads the trials of a refused request over the instances", t => {
    const subject = makeCrashSubject("bad");
    const times = Array.from({ length: INSTANCES }, (_, i) => {
        const record = createCrashRecord(`instance-${i}`, LOG, () => INSTANCES);
        ["t1", "t2", "t3"].forEach(targetId =>
            record.recordCrash([subject.fingerprint.key], { targetId, sentAt: 900, endedAt: 1000 }, 1000)
        );
        return record.findRefusal(subject, 1000)?.until ?? 0;
    });
    t.true(Math.min(...times) >= 11_000);
    t.true(Math.max(...times) <= 11_000 + INSTANCES * 400);
    t.true(new Set(times).size > INSTANCES / 2, "most instances have a time of their own");
});
