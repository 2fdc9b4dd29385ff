import test from "ava";
import { ForwardAttempt } from "../../src/router/forwardAttempt.js";
import { recordAttemptSuccess } from "../../src/router/recordAttemptSuccess.js";
import { recordStatements } from "../../src/router/recordStatements.js";
import type { ResponseHead } from "../../src/router/responseHead.js";
import { createTargetNotices } from "../testing/createTargetNotices.js";
import { createScheduler } from "../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

const LOAD = { runningRequests: 1, waitingRequests: 0, slots: 4, workTimeRatio: 1 };
const HEAD = {
    requestLimit: { kind: "none" },
    notice: { unusualHeaders: [] },
    load: LOAD,
} as unknown as ResponseHead;

function createGrant() {
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTargetDescriptor("t")], new Set(), 0);
    const { grant } = enqueueRequest(scheduler, makeRoutedRequest(), 0);
    if (!grant) {
        throw new Error("The request was granted no target.");
    }
    return { scheduler, grant };
}

// A slow target would be taken for a silent one, and its requests would be sent twice.
test("a slow target counts as silent later than a fast one", t => {
    const reasons = [1, 2].map(ratio => {
        const { grant } = createGrant();
        for (let i = 0; i < 20; i += 1) {
            grant.target.recordLoad(LOAD, i);
            grant.target.speed.recordSample(100 * ratio, 100, i);
        }
        let now = 0;
        const attempt = ForwardAttempt.create(
            {
                grant: { ...grant, expectedMs: 300 },
                caller: { request: makeRoutedRequest() },
                memory: {},
                getNow: () => 20,
                getRunningTime: () => now,
            } as unknown as Parameters<typeof ForwardAttempt.create>[0],
        );
        // Three times the expected 300 ms are 900 ms.
        now = 1000;
        return attempt.findInactivity();
    });
    t.deepEqual(reasons, ["silent", undefined]);
});

// The load of another target at the same address would count for this one.
test("the load that a response states counts unless another target has answered", t => {
    for (const isMisdirected of [true, false]) {
        const { scheduler, grant } = createGrant();
        const limits = { observe: () => undefined };
        const records = { grant, limits, notices: createTargetNotices(), getNow: () => 0 };
        recordStatements(records as never, { ...HEAD, isMisdirected }, 200);
        t.is(scheduler.speeds.isActive, !isMisdirected);
    }
});

// Plain services have no first event, so that nothing would be learned of them.
test("a response that is no stream tells the work time of a plain service, and only a success", t => {
    for (const [status, count] of [[200, 1], [500, 0]] as const) {
        const { grant } = createGrant();
        let recorded = 0;
        const target = { ...grant.target, recordResponse: () => (recorded += 1) };
        const records = {
            crashDetector: { recordComplete: () => undefined },
            crashRecord: { listProvenKeys: () => [] },
        };
        const attempt = { status, headMs: 43, grant: { ...grant, target } };
        recordAttemptSuccess(records as never, makeRoutedRequest(), attempt as never, {
            ...HEAD,
            isFramed: true,
        }, 50);
        t.is(recorded, count);
    }
});

// One target that states its load would switch a service to speeds of which the other targets say nothing.
test("targets that answer without a load count among those that do not tell how long work takes", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets(["t", "u", "v"].map(id => makeTargetDescriptor(id)), new Set(), 0);
    const results = [undefined, undefined, LOAD, undefined].map((load, i) => {
        const target = [...scheduler.targets.values()][i % 3];
        const grant = { ...enqueueRequest(scheduler, makeRoutedRequest(), 0).grant, target };
        const limits = { observe: () => undefined };
        const records = { grant, limits, notices: createTargetNotices(), getNow: () => 0 };
        recordStatements(records as never, { ...HEAD, load, isMisdirected: false }, 200);
        return scheduler.speeds.isActive;
    });
    t.deepEqual(results, [false, false, false, false]);
});

// A refusal without the header would switch speeds off that its target has told before.
test("a response without a load does not take back what its target has stated", t => {
    const { scheduler, grant } = createGrant();
    const limits = { observe: () => undefined };
    const records = { grant, limits, notices: createTargetNotices(), getNow: () => 0 };
    for (const load of [LOAD, undefined]) {
        recordStatements(records as never, { ...HEAD, load, isMisdirected: false }, 200);
        t.true(scheduler.speeds.isActive);
    }
});
