import test from "ava";
import { AccountUsage } from "../../../src/core/routing/accountUsage.js";
import type { RoutedRequest } from "../../../src/core/routing/routedRequest.js";
import type { RouteRule } from "../../../src/core/routing/routeRule.js";
import { ServiceScheduler } from "../../../src/core/routing/serviceScheduler.js";
import type { TargetEntry } from "../../../src/core/routing/targetEntry.js";
import type { TargetGrant } from "../../../src/core/routing/targetGrant.js";

const ROUTE: RouteRule = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "stream",
    timeoutMs: 10_000,
    objectiveMs: 400,
    backends: [{ service: "s", weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
    regions: [],
};
const WINDOW_MS = 4000;

function makeTarget(id: string, fields: Partial<TargetEntry> = {}): TargetEntry {
    return {
        id,
        service: "s",
        address: `${id}:1`,
        dataCentre: "a",
        slots: 4,
        isDraining: false,
        coldUntil: 0,
        startedAtMs: 0,
        ...fields,
    };
}

function makeRequest(fields: Partial<RoutedRequest> = {}): RoutedRequest {
    return {
        requestId: "1",
        route: ROUTE,
        service: "s",
        account: "a",
        regions: [],
        promptTokens: 1000,
        outputTokens: 10,
        prompt: [{ id: "shared", tokens: 800 }, { id: "own", tokens: 200 }],
        receivedAt: 0,
        objectiveDeadline: 400,
        deadline: 10_000,
        ...fields,
    };
}

function createScheduler(tokensPerSecond = 0): { scheduler: ServiceScheduler; usage: AccountUsage; } {
    const usage = AccountUsage.create(WINDOW_MS);
    const scheduler = ServiceScheduler.create({
        service: {
            name: "s",
            maxConnections: 100,
            warmupMs: 3000,
            coldRequestsPerSecond: 13,
            engine: { slots: 4, memoryTokens: 100_000 },
        },
        settings: {
            place: { dataCentre: "a", region: "r" },
            regions: new Map([["a", "r"], ["b", "s"]]),
            prefillTokensPerMs: 50,
            engineQueueMs: 200,
            overShareQueueMs: 50,
            coldFactor: 1.5,
            coldSlack: 5,
            dataCentreDelayMs: 1,
            regionDelayMs: 20,
        },
        usage,
        getTokensPerSecond: () => tokensPerSecond,
        getColdShare: () => undefined,
    });
    return { scheduler, usage };
}

interface Outcome {
    grant: TargetGrant | undefined;
    refusal: string | undefined;
}

function enqueue(
    scheduler: ServiceScheduler,
    request: RoutedRequest,
    now: number,
    options: { readonly avoided?: ReadonlySet<string>; readonly isResume?: boolean; } = {},
): Outcome {
    const outcome: Outcome = { grant: undefined, refusal: undefined };
    scheduler.enqueue({
        request,
        avoided: options.avoided ?? new Set(),
        isResume: options.isResume ?? false,
        onGrant: grant => outcome.grant = grant,
        onRefuse: reason => outcome.refusal = reason,
    }, now);
    return outcome;
}

test("prompts that share a part go to the same target, so that it reads the part once", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets(["t1", "t2", "t3", "t4"].map(id => makeTarget(id)), new Set(), 0);
    const targets = Array.from({ length: 4 }, (_, i) => {
        const { grant } = enqueue(scheduler, makeRequest({ requestId: String(i) }), 0);
        if (grant) {
            scheduler.start(grant, 20);
            scheduler.release(grant, true, 20);
        }
        return grant?.target.entry.id;
    });
    t.is(new Set(targets).size, 1);
    t.not(targets[0], undefined);
});

test("no request goes to a draining target, to one of an evacuated data centre or to one that has failed it", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets(
        [
            makeTarget("leaving", { isDraining: true }),
            makeTarget("away", { dataCentre: "b" }),
            makeTarget("failed"),
        ],
        new Set(["b"]),
        0,
    );
    const outcome = enqueue(scheduler, makeRequest(), 0, { avoided: new Set(["failed"]) });
    t.is(outcome.grant, undefined);
});

test("the targets of a data centre that is taken back are treated as cold before they say so", t => {
    const { scheduler } = createScheduler();
    const targets = [makeTarget("away", { dataCentre: "b" })];
    scheduler.setTargets(targets, new Set(["b"]), 0);
    const outcome = enqueue(scheduler, makeRequest({ objectiveDeadline: 5000 }), 0);
    scheduler.setTargets(targets, new Set(), 10);
    t.is(outcome.grant, undefined);
    scheduler.advance(3011);
    t.is(outcome.grant?.target.entry.id, "away");
});

test("a request stays in the regions that its route and account allow", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTarget("far", { dataCentre: "b" })], new Set(), 0);
    t.is(enqueue(scheduler, makeRequest({ regions: ["r"] }), 0).grant, undefined);
});

test("a cold target gets nothing from an instance without a share of its limit", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTarget("cold", { coldUntil: 1000 })], new Set(), 0);
    const outcome = enqueue(scheduler, makeRequest({ objectiveDeadline: 2000 }), 0);
    t.is(outcome.grant, undefined);
    scheduler.advance(1001);
    t.is(outcome.grant?.target.entry.id, "cold");
});

test("burst: a request that can no longer be on time is refused while it may still be useful elsewhere", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTarget("t1")], new Set(), 0);
    Array.from({ length: 4 }, (_, i) => enqueue(scheduler, makeRequest({ requestId: String(i) }), 0));
    const late = enqueue(scheduler, makeRequest(), 0);
    scheduler.advance(300);
    t.is(late.refusal, undefined);
    scheduler.advance(360);
    t.is(late.refusal, "overloaded");
});

test("burst: a stream that has begun is not refused, it waits for another target", t => {
    const { scheduler } = createScheduler();
    const outcome = enqueue(scheduler, makeRequest(), 5000, { isResume: true });
    t.is(outcome.refusal, undefined);
    scheduler.setTargets([makeTarget("t1")], new Set(), 5100);
    t.is(outcome.grant?.target.entry.id, "t1");
});

test("hot tenant: an account far beyond its share is sent away, the others are served", t => {
    const { scheduler, usage } = createScheduler(1000);
    scheduler.setTargets([makeTarget("t1")], new Set(), 0);
    usage.addAsked("flood", 100_000, 0);
    usage.addGranted("flood", 100_000, 0);
    const flood = enqueue(scheduler, makeRequest({ account: "flood" }), 0);
    const small = enqueue(scheduler, makeRequest({ account: "small" }), 0);
    scheduler.advance(60);
    t.is(flood.refusal, "overloaded");
    t.is(small.grant?.target.entry.id, "t1");
});

test("hot tenant: the account with the least recent usage is served first when a place is free", t => {
    const { scheduler, usage } = createScheduler();
    scheduler.setTargets([makeTarget("t1", { slots: 1 })], new Set(), 0);
    const first = enqueue(scheduler, makeRequest(), 0);
    usage.addGranted("heavy", 5000, 0);
    const heavy = enqueue(scheduler, makeRequest({ account: "heavy" }), 0);
    const light = enqueue(scheduler, makeRequest({ account: "light" }), 1);
    if (first.grant) {
        scheduler.release(first.grant, false, 10);
    }
    t.is(heavy.grant, undefined);
    t.not(light.grant, undefined);
});

test("a withdrawn request is never granted", t => {
    const { scheduler } = createScheduler();
    const waiting = {
        request: makeRequest(),
        avoided: new Set<string>(),
        isResume: false,
        onGrant: () => t.fail("granted"),
        onRefuse: () => t.fail("refused"),
    };
    scheduler.enqueue(waiting, 0);
    scheduler.withdraw(waiting);
    scheduler.setTargets([makeTarget("t1")], new Set(), 10);
    t.is(scheduler.waitingCount, 0);
});

test("a target that failed several requests in a row rests while others are there", t => {
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTarget("t1"), makeTarget("t2")], new Set(), 0);
    const first = enqueue(scheduler, makeRequest(), 0);
    const faulty = first.grant?.target;
    for (let i = 0; i < 3; i += 1) {
        faulty?.recordResult(false, 0);
    }
    t.not(enqueue(scheduler, makeRequest(), 10).grant?.target, faulty);
});
