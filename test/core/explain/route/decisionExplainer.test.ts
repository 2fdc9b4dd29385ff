import test from "ava";
import type { RoutedRequest } from "../../../../src/core/routing/routedRequest.js";
import type { ServiceScheduler } from "../../../../src/core/routing/serviceScheduler.js";
import { buildRandomState } from "../../../testing/explain/buildRandomState.js";

const SEED = 17_080_000;
const STATES = 1000;
/** Outcomes and reasons that the random states must reach, so that the comparison covers them. */
const REQUIRED = [
    ["granted", "waiting", "over-share", "overloaded", "no-target", "targets-paused", "crashing-prompt"],
    ["request-limit", "cold-limit", "slots-taken", "queue-full", "draining", "leaving", "evacuated"],
    ["region-not-allowed", "paused", "ejected", "prompt-not-cached", "version-new"],
].flat();

/** Decides on a new request as a router does that has read its body at once, and describes the outcome. */
function resolveNow(scheduler: ServiceScheduler, request: RoutedRequest, now: number): object {
    const retryAfterMs = scheduler.findRetryDelay(request, now);
    if (retryAfterMs !== undefined) {
        return { kind: "refused", reason: "over-share", retryAfterMs };
    }
    let outcome: object = { kind: "waiting" };
    scheduler.enqueue({
        request,
        excludedTargets: new Set(),
        isResume: false,
        onGrant: grant => outcome = describe({ kind: "granted", grant }),
        onRefuse: ({ reason, retryAfterMs: ms }) => outcome = { kind: "refused", reason, retryAfterMs: ms },
        onError: error => outcome = { kind: "failed", error },
    }, now);
    return outcome;
}

function describe(decision: ReturnType<ServiceScheduler["explainer"]["explain"]>["decision"]): object {
    if (decision.kind === "granted") {
        const { target, ...grant } = decision.grant;
        return { kind: "granted", target: target.descriptor.id, ...grant };
    }
    return decision.kind === "refused"
        ? { kind: "refused", reason: decision.reason, retryAfterMs: decision.retryAfterMs }
        : decision;
}

/** Decides on ten requests; a moment before each, another request may be explained, and shares then change. */
function resolveSeries(seed: number, isExplained: boolean): readonly object[] {
    const { scheduler, usage, limits, changeColdShare, now, random, makeRequest } = buildRandomState(seed);
    let at = now;
    return Array.from({ length: 10 }, (_, i) => {
        at += 50 * random();
        const explained = makeRequest(at);
        if (isExplained) {
            scheduler.explainer.explain(explained, at);
        }
        at += 10 * random();
        changeColdShare();
        const tokens = new Map([["c", { asked: 40_000 * random(), granted: 20_000 * random() }]]);
        usage.setPeerUsage("q", { tokens, validUntil: at + 400 });
        if (i % 2 > 0) {
            scheduler.advance(at);
        }
        const outcome = resolveNow(scheduler, makeRequest(at), at);
        const targets = [...scheduler.targets.values()].map(({ inFlight, pendingTokens }) => [
            inFlight,
            pendingTokens,
        ]);
        const reports = [usage.listLocal(at), limits.buildReport(at)];
        return { outcome, waiting: scheduler.waitingCount, targets, reports };
    });
}

// Guards against an explanation that follows other rules than the decision.
test(`the explanation and the real decision agree on ${STATES} random states, seed ${SEED}`, t => {
    const reached = new Map<string, number>();
    for (let seed = SEED; seed < SEED + STATES; seed += 1) {
        const { scheduler, now, makeRequest } = buildRandomState(seed);
        const request = makeRequest(now);
        const { decision, candidates, leftOut } = scheduler.explainer.explain(request, now);
        const outcome: string = decision.kind === "refused" ? decision.reason : decision.kind;
        const names = [outcome].concat(
            leftOut.map(({ reason }) => reason),
        );
        names.forEach(name => reached.set(name, (reached.get(name) ?? 0) + 1));
        t.is(candidates.length + leftOut.length, scheduler.targets.size, `seed ${seed}`);
        t.deepEqual(describe(decision), resolveNow(scheduler, request, now), `seed ${seed}`);
    }
    t.log(Object.fromEntries(reached));
    t.deepEqual(REQUIRED.filter(name => !reached.has(name)), []);
});

// Guards against an explanation that leaves demand, permits, buckets, shares or reservations behind.
test(`decisions after an explanation equal those without one on ${STATES} random states, seed ${SEED}`, t => {
    for (let seed = SEED; seed < SEED + STATES; seed += 1) {
        t.deepEqual(resolveSeries(seed, true), resolveSeries(seed, false), `seed ${seed}`);
    }
});
