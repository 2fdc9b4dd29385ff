import test from "ava";
import { findStopRefusal } from "../../../src/core/routing/findStopRefusal.js";
import { resolveRequest } from "../../../src/core/routing/resolveRequest.js";
import type { RouterConfiguration } from "../../../src/core/routing/routerConfiguration.js";
import type { RouteRule } from "../../../src/core/routing/routeRule.js";

function makeRoute(pathPrefix: string, fields: Partial<RouteRule> = {}): RouteRule {
    return {
        name: pathPrefix,
        host: "h",
        pathPrefix,
        kind: "unsafe",
        timeoutMs: 1000,
        objectiveMs: 200,
        backends: [{ service: "s", weight: 90 }, { service: "s2", weight: 10 }],
        maxAttempts: 1,
        isPublic: false,
        isResumable: false,
        regions: [],
        ...fields,
    };
}

const CONFIGURATION: RouterConfiguration = {
    version: 1,
    routesByHost: new Map([["h", [
        makeRoute("/a/b/"),
        makeRoute("/a/"),
        makeRoute("/open/", { isPublic: true }),
    ]]]),
    services: new Map(),
    hasAccounts: true,
    accountsByKey: new Map([["k", { name: "account", regions: ["r"] }]]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1, tokensPerSecond: 0 },
};
const ATTRIBUTES = {
    requestId: "1",
    host: "h",
    patienceMs: 800,
    key: "k",
    promptTokens: 0,
    outputTokens: 0,
    prompt: [],
    lastEventId: undefined,
    streamId: undefined,
};
const CONTEXT = {
    configuration: CONFIGURATION,
    isFresh: true,
    isOverloaded: false,
    stopPlan: undefined,
    estimateMs: () => Number.POSITIVE_INFINITY,
    receivedAt: 0,
    random: 0,
};

function getStatus(result: ReturnType<typeof resolveRequest>): number | string {
    return result.kind === "refused" ? result.status : result.request.route.name;
}

test("picks the route with the longest matching path prefix", t => {
    t.is(getStatus(resolveRequest(ATTRIBUTES, "/a/b/c", CONTEXT)), "/a/b/");
    t.is(getStatus(resolveRequest(ATTRIBUTES, "/a/c", CONTEXT)), "/a/");
});

test("replies 503 instead of 404 for an unknown route until a configuration is known", t => {
    t.is(getStatus(resolveRequest(ATTRIBUTES, "/none/", { ...CONTEXT, configuration: undefined })), 503);
    t.is(getStatus(resolveRequest(ATTRIBUTES, "/none/", CONTEXT)), 404);
});

test("refuses requests with a key and serves those without one while the configuration is stale", t => {
    const stale = { ...CONTEXT, isFresh: false };
    t.is(getStatus(resolveRequest(ATTRIBUTES, "/a/", stale)), 503);
    t.is(getStatus(resolveRequest({ ...ATTRIBUTES, key: "new" }, "/a/", stale)), 503);
    t.is(getStatus(resolveRequest({ ...ATTRIBUTES, key: undefined }, "/open/", stale)), "/open/");
    t.is(getStatus(resolveRequest({ ...ATTRIBUTES, key: "new" }, "/a/", CONTEXT)), 401);
});

const STOP_PLAN = { lingerUntil: 6000, estimateUntil: 3000, finishBy: 7500, stopBy: 7700 };

// What a request may take was guessed from its tokens: requests that took longer were passed on in the last seconds of a
// stop and cut at its end, also those that may not be repeated.
test("stop: late requests are accepted only if their deadline is before the end, whatever they are expected to take", t => {
    const late = { ...CONTEXT, stopPlan: STOP_PLAN, estimateMs: () => 10 };
    const getLate = (receivedAt: number, patienceMs: number): number | string =>
        getStatus(resolveRequest({ ...ATTRIBUTES, patienceMs }, "/a/", { ...late, receivedAt }));
    t.is(getLate(6500, 5000), "/a/", "the timeout of the route is 1000 ms");
    t.is(getLate(6501, 5000), 503);
    t.is(getLate(7000, 500), "/a/", "the caller waits for 500 ms");
    t.is(getLate(7000, 501), 503);
    t.is(getLate(7500, 0), "/a/");
    t.is(getLate(7501, 0), 503);
    const refused = resolveRequest(ATTRIBUTES, "/a/", { ...late, receivedAt: 7400 });
    t.like(refused, { kind: "refused", reason: "stopping", retryAfterMs: 50 });
});

test("stop: early requests whose deadline is after the end are accepted if they are expected to end before it", t => {
    const route = makeRoute("/long/", { timeoutMs: 15_000 });
    const configuration = { ...CONFIGURATION, routesByHost: new Map([["h", [route]]]) };
    const getEarly = (receivedAt: number, expectedMs: number): number | string => {
        const context = {
            ...CONTEXT,
            configuration,
            stopPlan: STOP_PLAN,
            estimateMs: () => expectedMs,
            receivedAt,
        };
        return getStatus(resolveRequest({ ...ATTRIBUTES, patienceMs: 12_000 }, "/long/", context));
    };
    t.is(getEarly(0, 7500), "/long/");
    t.is(getEarly(0, 7501), 503);
    t.is(getEarly(3000, 4500), "/long/");
    t.is(getEarly(3001, 10), 503, "late");
    t.is(getEarly(0, Number.POSITIVE_INFINITY), 503, "unknown");
});

test("stop: a request whose body ends after the last moment is refused, even if its deadline was before", t => {
    const request = { receivedAt: 5000, deadline: 6000 };
    t.is(findStopRefusal(request, 10, STOP_PLAN, 7500), undefined);
    t.is(findStopRefusal(request, 10, STOP_PLAN, 7501)?.status, 503);
    t.is(findStopRefusal(request, 10, undefined, 7501), undefined, "no stop");
});

test("stop: a request of an unknown route is refused as such", t => {
    const stopping = { ...CONTEXT, stopPlan: STOP_PLAN, receivedAt: 7600 };
    t.is(getStatus(resolveRequest(ATTRIBUTES, "/none/", stopping)), 404);
});

test("limits the deadline to the timeout of the route if the caller's is longer", t => {
    const result = resolveRequest({ ...ATTRIBUTES, patienceMs: 5000 }, "/a/", CONTEXT);
    t.is(result.kind === "accepted" ? result.request.deadline : 0, 1000);
});

test("picks the service of a request by the weights of the route", t => {
    const pick = (random: number): string => {
        const result = resolveRequest(ATTRIBUTES, "/a/", { ...CONTEXT, random });
        return result.kind === "accepted" ? result.request.service : "";
    };
    t.is(pick(0.89), "s");
    t.is(pick(0.91), "s2");
});
