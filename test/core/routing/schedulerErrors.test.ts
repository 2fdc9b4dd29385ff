import test from "ava";
import { createCrashRecord } from "../../testing/createCrashRecord.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

// The grants of the pass were lost: their requests were granted a target again, and the slots before stayed in use.
test("unexpected error in the decision on a waiting request: grants the others their targets, and fails that request", t => {
    const crashRecord = createCrashRecord();
    const { scheduler } = createScheduler(0, undefined, undefined, crashRecord);
    scheduler.setTargets([makeTargetDescriptor("full")], new Set(), 0);
    while (scheduler.waitingCount === 0) {
        enqueueRequest(scheduler, makeRoutedRequest(), 0, { isResume: true });
    }
    const outcomes = [1, 2].map(receivedAt =>
        enqueueRequest(scheduler, makeRoutedRequest({ receivedAt }), receivedAt, { isResume: true })
    );
    t.is(scheduler.waitingCount, 3);
    let decisions = 0;
    crashRecord.findRefusal = () => {
        decisions += 1;
        if (decisions === 2) {
            throw new Error("unexpected");
        }
        return undefined;
    };
    t.notThrows(() =>
        scheduler.setTargets(["full", "free"].map(id => makeTargetDescriptor(id)), new Set(), 10)
    );
    t.deepEqual(
        outcomes.map(({ grant, error }) => grant?.target.descriptor.id ?? String(error)),
        ["Error: unexpected", "free"],
    );
    t.is(scheduler.waitingCount, 0);
    t.is(scheduler.targets.get("free")?.inFlight, 2);
});
