import test from "ava";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const LEFT_MS = 8000;
const TIMES = { earliestMs: 0, estimatedMs: 0, readingMs: 0 };

/** Creates a scheduler with one place, which account `a` holds, and a promise to `a` that is due 50 to 450 ms after the start. */
function createPromised(usesReservations = true, tokensPerSecond = 0) {
    const unset = [
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
    ] as const;
    const created = createScheduler(tokensPerSecond, ...unset, () => usesReservations);
    created.scheduler.setTargets([makeTargetDescriptor("t", { slots: 1 })], new Set(), 0);
    const { grant } = enqueueRequest(created.scheduler, makeRoutedRequest({ outputTokens: 10_000 }), 0);
    created.scheduler.returns.planReturn(makeRoutedRequest({ promptTokens: 10, outputTokens: 0 }), TIMES, 0);
    const free = (now: number): void => {
        if (grant) {
            created.scheduler.release(grant, false, now);
        }
    };
    return { ...created, free };
}

function makeReturn(receivedAt: number, leftMs = LEFT_MS) {
    const deadline = receivedAt + leftMs;
    return makeRoutedRequest({ requestId: "2", receivedAt, objectiveDeadline: receivedAt + 400, deadline });
}

// A request that has waited as it was told would find its place taken by one that came just before it.
test("a request that returns when it is due goes before new ones of its account and keeps the promise", t => {
    const { scheduler, free } = createPromised();
    const early = enqueueRequest(scheduler, makeReturn(60, 10_000), 60);
    const returned = enqueueRequest(scheduler, makeReturn(70), 70);
    free(100);
    t.truthy(returned.grant);
    t.is(early.grant, undefined);
    t.deepEqual(scheduler.returns.countPromises(100), { open: 0, kept: 1, lapsed: 0 });
});

// A caller that comes before its time would take the place of a new request, which is not late yet.
test("a request that returns before it is due, or without a promise, goes after new ones and is not refused", t => {
    const { scheduler, free } = createPromised();
    const returned = enqueueRequest(scheduler, makeReturn(10), 10);
    const later = enqueueRequest(scheduler, makeReturn(300, 10_000), 300);
    scheduler.advance(1000);
    t.is(returned.refusal, undefined);
    t.is(later.refusal, "overloaded");
    const next = enqueueRequest(scheduler, makeReturn(1000, 10_000), 1000);
    free(1010);
    t.truthy(next.grant);
    t.is(returned.grant, undefined);
});

// Served behind all new requests for as long as the overload lasts, it would never be served.
test("a request whose deadline is near goes before new ones", t => {
    const { scheduler, free } = createPromised();
    const returned = enqueueRequest(scheduler, makeReturn(10, 600), 10);
    const next = enqueueRequest(scheduler, makeReturn(240, 10_000), 240);
    free(260);
    t.truthy(returned.grant);
    t.is(next.grant, undefined);
});

// An instance that gets no capacity would keep a caller that others could serve.
test("a request that has returned waits no longer than a new one where nothing is granted", t => {
    const { scheduler } = createPromised();
    const returned = enqueueRequest(scheduler, makeReturn(10), 10);
    scheduler.advance(1900);
    t.is(returned.refusal, undefined);
    scheduler.advance(2000);
    t.is(returned.refusal, "overloaded");
});

// The share would refuse again what the calendar has promised on the rate that the account gets.
test("the usage of its account does not refuse a request that keeps its promise", t => {
    const { scheduler, usage, free } = createPromised(true, 1000);
    usage.addDemand("b", 100_000, 0);
    usage.addGranted("a", 100_000, 0);
    t.not(scheduler.findRetryDelay(makeReturn(60, 10_000), 60), undefined);
    t.is(scheduler.findRetryDelay(makeReturn(70), 70), undefined);
    const returned = enqueueRequest(scheduler, makeReturn(70), 70);
    free(100);
    t.truthy(returned.grant);
});

// A part that is off must not change how long requests wait or what they are told.
test("off: a request that returns is treated like a new one, and nothing is promised", t => {
    const { scheduler } = createPromised(false);
    enqueueRequest(scheduler, makeReturn(60, 10_000), 60);
    const returned = enqueueRequest(scheduler, makeReturn(70), 70);
    scheduler.advance(70 + 400);
    t.is(returned.refusal, "overloaded");
    t.deepEqual(scheduler.returns.countPromises(470), { open: 0, kept: 0, lapsed: 0 });
});

// A flood of requests with little time left would hold bodies until the memory is full.
test("a bounded number of requests of an account wait beyond their objective", t => {
    const { scheduler } = createPromised();
    Array.from({ length: 300 }, () => scheduler.returns.planReturn(makeRoutedRequest(), TIMES, 0));
    const outcomes = Array.from({ length: 300 }, () => enqueueRequest(scheduler, makeReturn(10), 10));
    scheduler.advance(1000);
    t.is(outcomes.filter(({ refusal }) => refusal === undefined).length, 250);
});
