import test from "ava";
import type { RouteExplanation } from "../../../src/core/explain/route/routeExplanation.js";
import { routeQuerySchema } from "../../../src/core/explain/route/routeQuerySchema.js";
import { planStop } from "../../../src/core/routing/planStop.js";
import { SlidingRetryBudget } from "../../../src/core/routing/slidingRetryBudget.js";
import { decodeConfiguration } from "../../../src/platform/decodeConfiguration.js";
import { RouteExplainer } from "../../../src/router/explain/routeExplainer.js";
import { RequestResolver } from "../../../src/router/requestResolver.js";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

const ROUTE = { host: "h", kind: "safe", timeoutMs: 1000 };
const CONFIGURATION = decodeConfiguration(Buffer.from(JSON.stringify({
    version: 1,
    routes: [
        {
            ...ROUTE,
            name: "split",
            pathPrefix: "/split/",
            backends: [{ service: "s", weight: 3 }, { service: "off", weight: 0 }, {
                service: "other",
                weight: 1,
            }],
        },
        { ...ROUTE, name: "far", pathPrefix: "/far/", service: "s", allowedRegions: ["s"] },
    ],
    services: [{ name: "s" }],
    tenants: [{ name: "capel", apiKeys: ["key-1", "key-2"], allowedRegions: [] }],
})));

interface InstanceOptions {
    readonly isStarting?: boolean;
    readonly isStale?: boolean;
    readonly isStopping?: boolean;
}

function explain(query: object, options: InstanceOptions = {}): RouteExplanation {
    const { scheduler } = createScheduler();
    scheduler.setTargets(
        ["a", "b"].map(name => makeTargetDescriptor(`in-${name}`, { dataCentre: name })),
        new Set(),
        0,
    );
    const retryBudget = SlidingRetryBudget.create({ ratio: 1, windowMs: 1000 });
    const resolver = RequestResolver.create({
        view: {
            configuration: options.isStarting ? undefined : CONFIGURATION,
            hasHeardPeers: true,
            isFresh: () => !options.isStale,
        },
        servicePool: { find: name => name === "s" ? { scheduler, retryBudget } : undefined },
        loadObserver: { loopDelayMs: 0 },
        getStopPlan: () => options.isStopping ? planStop(0, 0) : undefined,
    });
    const settings = {
        instance: "i",
        locality: { dataCentre: "a", region: "r" },
        regionsByDataCentre: new Map([["a", "r"], ["b", "s"]]),
    };
    const explainer = RouteExplainer.create({ settings, resolver, getNow: () => 100 });
    return explainer.explain(routeQuerySchema.parse({ host: "H", account: "capel", ...query }));
}

// Guards against a route with several services that is explained for one of them, picked at random.
test("explains each service of a route with its part, and names one that is missing", t => {
    const { services, account } = explain({ path: "/split/x" });
    t.is(account, "capel");
    t.deepEqual(services.map(({ service, part, outcome }) => [service, part, outcome.kind, outcome.reason]), [
        ["s", 0.75, "grant", undefined],
        ["other", 0.25, "refusal", "no-service"],
    ]);
    t.is(explain({ path: "/split/x", requestId: "1" }).services.length, 1);
});

// Guards against an operator who misses that a request goes to another region.
test("says whether the request leaves its data centre and region, and why targets are left out", t => {
    const [near, far] = ["/split/x", "/far/x"].map(path => explain({ path }).services[0]);
    t.deepEqual([near?.outcome.target, near?.leavesDataCentre, near?.leavesRegion], ["in-a", false, false]);
    t.deepEqual([far?.outcome.target, far?.leavesDataCentre, far?.leavesRegion], ["in-b", true, true]);
    t.deepEqual(far?.leftOut.map(({ target, reason }) => [target, reason]), [["in-a", "region-not-allowed"]]);
    t.deepEqual(near?.candidates.map(({ target, isPossible }) => [target, isPossible]), [
        ["in-a", true],
        ["in-b", false],
    ]);
    // All terms are listed whatever their names, and the score is their sum.
    for (const { score, terms } of near?.candidates ?? []) {
        t.is(score, Object.values(terms).reduce((sum, term) => sum + term, 0));
    }
});

// Guards against a starting or stopping instance that is taken for one without the route or the account.
test("says what an instance lacks, with the refusal that callers get", t => {
    const cases: readonly (readonly [InstanceOptions, readonly string[], string])[] = [
        [{ isStarting: true }, ["starting", "not-configured"], "not-configured"],
        [{ isStale: true }, ["configuration-stale"], "configuration-stale"],
        [{ isStopping: true }, ["stopping"], "stopping"],
    ];
    for (const [options, notReady, reason] of cases) {
        const explanation = explain({ path: "/split/x" }, options);
        t.deepEqual([explanation.notReady, explanation.refusal?.reason], [notReady, reason]);
        t.deepEqual(explanation.services, []);
    }
});

test("names unknown accounts, keys and routes, and shows no key", t => {
    const queries: readonly (readonly [object, string | undefined])[] = [
        [{ path: "/split/x", account: "nobody" }, "unknown-account"],
        [{ path: "/split/x", account: undefined, key: "key-3" }, "unknown-key"],
        [{ path: "/split/x", account: undefined, key: "key-2" }, undefined],
        [{ path: "/nowhere" }, "no-route"],
    ];
    for (const [query, reason] of queries) {
        const explanation = explain(query);
        t.is(explanation.refusal?.reason, reason);
        t.notRegex(JSON.stringify(explanation), /key-\d/);
    }
});
