import test from "ava";
import { makeCrashSubject } from "../../testing/crashes/makeCrashSubject.js";
import { createCrashRecord } from "../../testing/createCrashRecord.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

test("sends prompts that share a part to the same target, so that the part is read once", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets(["t1", "t2", "t3", "t4"].map(id => makeTargetDescriptor(id)), new Set(), 0);
    const targets = Array.from({ length: 4 }, (_, i) => {
        const { grant } = enqueueRequest(scheduler, makeRoutedRequest({ requestId: String(i) }), 0);
        if (grant) {
            scheduler.start(grant, 20);
            scheduler.release(grant, true, 20);
        }
        return grant?.target.descriptor.id;
    });
    t.is(new Set(targets).size, 1);
    t.not(targets[0], undefined);
});

test("does not grant a target that drains, is in an evacuated data centre or has failed the request", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets(
        [
            makeTargetDescriptor("leaving", { isDraining: true }),
            makeTargetDescriptor("away", { dataCentre: "b" }),
            makeTargetDescriptor("failed"),
        ],
        new Set(["b"]),
        0,
    );
    const outcome = enqueueRequest(scheduler, makeRoutedRequest(), 0, {
        excludedTargets: new Set(["failed"]),
    });
    t.is(outcome.grant, undefined);
});

test("counts targets as cold for the warm-up time when the evacuation of their data centre ends", t => {
    const { scheduler } = createScheduler();
    const targets = [makeTargetDescriptor("away", { dataCentre: "b" })];
    scheduler.setTargets(targets, new Set(["b"]), 0);
    const outcome = enqueueRequest(scheduler, makeRoutedRequest({ objectiveDeadline: 5000 }), 0);
    scheduler.setTargets(targets, new Set(), 10);
    t.is(outcome.grant, undefined);
    scheduler.advance(3011);
    t.is(outcome.grant?.target.descriptor.id, "away");
});

test("keeps a request within its allowed regions", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTargetDescriptor("far", { dataCentre: "b" })], new Set(), 0);
    t.is(enqueueRequest(scheduler, makeRoutedRequest({ regions: ["r"] }), 0).grant, undefined);
});

test("sends nothing to a cold target while the instance has no share of its limit", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTargetDescriptor("cold", { coldUntil: 1000 })], new Set(), 0);
    const outcome = enqueueRequest(scheduler, makeRoutedRequest({ objectiveDeadline: 2000 }), 0);
    t.is(outcome.grant, undefined);
    scheduler.advance(1001);
    t.is(outcome.grant?.target.descriptor.id, "cold");
});

test("neither grants nor refuses a withdrawn request", t => {
    const { scheduler } = createScheduler();
    const waiting = {
        request: makeRoutedRequest(),
        excludedTargets: new Set<string>(),
        isResume: false,
        onGrant: () => t.fail("granted"),
        onRefuse: () => t.fail("refused"),
        onError: () => t.fail("error"),
    };
    scheduler.enqueue(waiting, 0);
    scheduler.withdraw(waiting);
    scheduler.setTargets([makeTargetDescriptor("t1")], new Set(), 10);
    t.is(scheduler.waitingCount, 0);
});

test("ejects a target after several consecutive failures while others are usable", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTargetDescriptor("t1"), makeTargetDescriptor("t2")], new Set(), 0);
    const first = enqueueRequest(scheduler, makeRoutedRequest(), 0);
    const faulty = first.grant?.target;
    for (let i = 0; i < 3; i += 1) {
        faulty?.recordResult(false, 0);
    }
    t.not(enqueueRequest(scheduler, makeRoutedRequest(), 10).grant?.target, faulty);
});

// The failure share of a target with many successes is small, so that only the ejection keeps requests from it.
test("does not grant an ejected target although it is expected to be faster than the others", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTargetDescriptor("t1"), makeTargetDescriptor("t2")], new Set(), 0);
    const [ejected, other] = [...scheduler.targets.values()];
    for (let i = 0; i < 200; i += 1) {
        ejected?.recordResult(true, 0);
    }
    if (other) {
        other.pendingTokens = 9000;
    }
    const request = makeRoutedRequest({ prompt: [{ id: "own", tokens: 1000 }] });
    t.is(enqueueRequest(scheduler, request, 0).grant?.target, ejected);
    for (let i = 0; i < 3; i += 1) {
        ejected?.recordResult(false, 0);
    }
    t.is(enqueueRequest(scheduler, request, 10).grant?.target, other);
});

// Copies of a refused request that arrive together would each be sent as its trial.
test("sends one trial of a refused request at a time", t => {
    const crashRecord = createCrashRecord();
    const { scheduler } = createScheduler(0, undefined, undefined, crashRecord);
    scheduler.setTargets([makeTargetDescriptor("t")], new Set(), 0);
    const subject = {
        ...makeCrashSubject("bad"),
        receivedAt: 11_000,
        objectiveDeadline: 11_400,
        deadline: 21_000,
    };
    ["t1", "t2", "t3"].forEach(targetId =>
        crashRecord.recordCrash([subject.fingerprint.key], { targetId, sentAt: 900, endedAt: 1000 }, 1000)
    );
    t.is(enqueueRequest(scheduler, makeRoutedRequest(subject), 10_999).refusal, "crashing-request");
    t.not(enqueueRequest(scheduler, makeRoutedRequest(subject), 11_000).grant, undefined);
    t.is(enqueueRequest(scheduler, makeRoutedRequest(subject), 11_000).refusal, "crashing-request");
});

test("refuses requests with a prompt part on which targets crash at once, also those that wait", t => {
    const crashRecord = createCrashRecord();
    const { scheduler, usage } = createScheduler(0, undefined, undefined, crashRecord);
    const waiting = enqueueRequest(scheduler, makeRoutedRequest(), 0);
    const resumed = enqueueRequest(scheduler, makeRoutedRequest(), 0, { isResume: true });
    [10, 20, 30].forEach(at =>
        crashRecord.recordCrash(["shared"], { targetId: `t${at}`, sentAt: at - 5, endedAt: at }, at)
    );
    scheduler.setTargets([makeTargetDescriptor("t")], new Set(), 40);
    const demand = usage.listLocal(40);
    const later = enqueueRequest(scheduler, makeRoutedRequest(), 40);
    t.deepEqual([waiting, resumed, later].map(({ refusal }) => refusal), Array(3).fill("crashing-prompt"));
    // Refused for good, a request is no demand for a share of the capacity.
    t.deepEqual(usage.listLocal(40), demand);
    const other = makeRoutedRequest({
        prompt: [{ id: "other", tokens: 800 }, { id: "shared", tokens: 200 }],
    });
    t.not(enqueueRequest(scheduler, other, 50).grant, undefined);
});

// The limit of cold targets was tested in its parts only, and could be left out where requests pass.
test("sends a cold target no more than this instance's share of its limit", t => {
    const { scheduler } = createScheduler(0, () => ({ perSecond: 1, burst: 1 }));
    scheduler.setTargets([makeTargetDescriptor("t", { coldUntil: 10_000 })], new Set(), 0);
    const [first, second, third] = [1, 2, 3].map(() =>
        enqueueRequest(scheduler, makeRoutedRequest({ objectiveDeadline: 9000 }), 0)
    );
    t.truthy(first?.grant);
    t.is(second?.grant, undefined);
    scheduler.advance(900);
    t.is(second?.grant, undefined);
    scheduler.advance(1000);
    t.is([second, third].filter(outcome => outcome?.grant).length, 1);
});

test("grants a target at once beside an attempt in progress, or nothing, and keeps no request waiting", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets(["t1", "t2"].map(id => makeTargetDescriptor(id, { slots: 1 })), new Set(), 0);
    const request = makeRoutedRequest();
    const first = enqueueRequest(scheduler, request, 0).grant;
    const used = new Set([first?.target.descriptor.id ?? ""]);
    const second = scheduler.tryGrant(request, used, 100);
    t.truthy(second);
    t.not(second?.target, first?.target);
    t.is(second?.target.inFlight, 1);
    t.is(scheduler.tryGrant(request, used, 100), undefined, "the other target is full");
    t.is(scheduler.tryGrant(request, new Set(["t1", "t2"]), 100), undefined);
    t.is(scheduler.waitingCount, 0);
});

test("grants no further target at once to a request that targets crash on", t => {
    const crashRecord = createCrashRecord();
    const { scheduler } = createScheduler(0, undefined, undefined, crashRecord);
    scheduler.setTargets([makeTargetDescriptor("t")], new Set(), 0);
    const subject = makeCrashSubject("bad");
    const request = makeRoutedRequest(subject);
    t.truthy(scheduler.tryGrant(request, new Set(), 0));
    ["t1", "t2", "t3"].forEach(targetId =>
        crashRecord.recordCrash([subject.fingerprint.key], { targetId, sentAt: 900, endedAt: 1000 }, 1000)
    );
    t.is(scheduler.tryGrant(request, new Set(), 1001), undefined);
});
