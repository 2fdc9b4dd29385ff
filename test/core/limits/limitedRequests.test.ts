import test from "ava";
import type { LimitGate } from "../../../src/core/limits/limitGate.js";
import { PermitStock } from "../../../src/core/limits/permitStock.js";
import { PromptLocations } from "../../../src/core/routing/promptLocations.js";
import { createCrashRecord } from "../../testing/createCrashRecord.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

/** Creates a gate with permits for limited targets that arrive at a known rate. */
function createGate(
    limited: readonly string[],
    perSecond?: number,
): LimitGate & { readonly stock: PermitStock; requests: number; refusals: number; } {
    const stock = PermitStock.create();
    const gate = {
        stock,
        requests: 0,
        refusals: 0,
        isLimited: (target: string) => limited.includes(target),
        isOpen: (target: string, now: number) => !limited.includes(target) || stock.has(target, now),
        hasSpare: (target: string, now: number) =>
            limited.includes(target) && stock.hasExpiring(target, now, now + 300),
        takePermit: (target: string, now: number) => void stock.tryTake(target, now),
        addRequest: () => void (gate.requests += 1),
        addRefusal: () => void (gate.refusals += 1),
        getPermitsPerSecond: () => perSecond,
    };
    return gate;
}

function createLimitedScheduler(
    gate: LimitGate,
    locations = PromptLocations.create(),
): ReturnType<typeof createScheduler> {
    const crashRecord = createCrashRecord();
    return createScheduler(0, () => undefined, locations, crashRecord, gate);
}

test("sends a limited target one request for each permit, also when a request is sent again", t => {
    const gate = createGate(["t"]);
    const { scheduler } = createLimitedScheduler(gate);
    scheduler.setTargets([makeTargetDescriptor("t")], new Set(), 0);
    gate.stock.add("t", 2, 1000);
    t.truthy(enqueueRequest(scheduler, makeRoutedRequest(), 0).grant);
    t.truthy(enqueueRequest(scheduler, makeRoutedRequest(), 0, { isResume: true }).grant);
    const third = enqueueRequest(scheduler, makeRoutedRequest(), 0);
    t.is(third.grant, undefined);
    t.is(gate.requests, 3);
    gate.stock.add("t", 1, 50);
    scheduler.advance(60);
    t.is(third.grant, undefined, "an expired permit was used");
    gate.stock.add("t", 1, 1000);
    scheduler.advance(70);
    t.truthy(third.grant);
});

test("refuses a request at once that no permit can reach in time, and lets it wait for a target without a limit", t => {
    const gate = createGate(["t"], 1);
    const { scheduler } = createLimitedScheduler(gate);
    scheduler.setTargets([makeTargetDescriptor("t")], new Set(), 0);
    let retryAfterMs = 0;
    scheduler.enqueue({
        request: makeRoutedRequest(),
        excludedTargets: new Set(),
        isResume: false,
        onGrant: () => t.fail("granted"),
        onRefuse: refusal => retryAfterMs = refusal.retryAfterMs,
        onError: () => t.fail("error"),
    }, 0);
    // A permit comes each second.
    t.true(retryAfterMs >= 1000 && retryAfterMs <= 1200, String(retryAfterMs));
    t.is(gate.refusals, 1);
    scheduler.setTargets([makeTargetDescriptor("t"), makeTargetDescriptor("u", { slots: 1 })], new Set(), 0);
    t.truthy(enqueueRequest(scheduler, makeRoutedRequest(), 0).grant);
    t.is(enqueueRequest(scheduler, makeRoutedRequest(), 0).refusal, undefined);
});

test("gives permits to the account with the least recent usage, and refuses the one for which they do not last", t => {
    const gate = createGate(["t"], 8);
    const { scheduler, usage } = createLimitedScheduler(gate);
    scheduler.setTargets([makeTargetDescriptor("t")], new Set(), 0);
    usage.addGranted("loud", 10_000, 0);
    const loud = Array.from(
        { length: 3 },
        () => enqueueRequest(scheduler, makeRoutedRequest({ account: "loud" }), 0),
    );
    const quiet = enqueueRequest(scheduler, makeRoutedRequest({ account: "quiet" }), 0);
    gate.stock.add("t", 1, 1000);
    scheduler.advance(10);
    t.truthy(quiet.grant);
    t.true(loud.every(({ grant }) => grant === undefined));
    t.true(loud.some(({ refusal }) => refusal === "overloaded"));
});

// A target that fetches a prompt part from a limited one sends it a request that no permit covers.
test("fetches no prompt part from a limited target", t => {
    for (const isLimited of [false, true]) {
        const locations = PromptLocations.create();
        locations.record("shared", "source", 0);
        const gate = createGate(isLimited ? ["source"] : []);
        const { scheduler } = createLimitedScheduler(gate, locations);
        const targets = [makeTargetDescriptor("source", { slots: 1 }), makeTargetDescriptor("t")];
        scheduler.setTargets(targets, new Set(), 0);
        const requests = [1, 2].map(() => enqueueRequest(scheduler, makeRoutedRequest(), 0));
        const sources = requests.flatMap(({ grant }) => grant?.promptSource ?? []);
        t.deepEqual(sources, isLimited ? [] : ["source:1"]);
    }
});

// Most of the limits of a large deployment stayed unused while accounts over their share were refused.
test("uses a permit that would expire for an account over its share, if its prompt has little to read again", t => {
    for (
        const [sharedTokens, validUntil, isGranted] of [[100, 200, true], [100, 900, false], [
            2000,
            200,
            false,
        ]] as const
    ) {
        const gate = createGate(["t0", "t1", "t2", "t3"]);
        const { scheduler, usage } = createScheduler(100, () => undefined, undefined, undefined, gate);
        scheduler.setTargets([0, 1, 2, 3].map(i => makeTargetDescriptor(`t${i}`)), new Set(), 0);
        usage.addDemand("quiet", 100_000, 0);
        usage.addGranted("a", 350, 0);
        usage.addDemand("a", 100_000, 0);
        const prompt = [{ id: "shared", tokens: sharedTokens }, { id: "own", tokens: 10 }];
        const results = [0, 1, 2, 3].map(i => {
            gate.stock.add(`t${i}`, 1, validUntil);
            const { grant } = enqueueRequest(scheduler, makeRoutedRequest({ prompt, promptTokens: 10 }), 0);
            const isUsed = grant?.target.descriptor.id === `t${i}`;
            gate.stock.tryTake(`t${i}`, 0);
            return isUsed;
        });
        // Without a spare permit only the affinity target of the prompt is used.
        t.is(results.filter(Boolean).length > 1, isGranted, `${sharedTokens} ${validUntil}`);
    }
});
