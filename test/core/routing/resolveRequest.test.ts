import test from "ava";
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
    finishBy: Number.POSITIVE_INFINITY,
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

test("accepts only requests that end before the shutdown, so that no response is cut off", t => {
    const stopping = { ...CONTEXT, finishBy: 2000 };
    t.is(getStatus(resolveRequest(ATTRIBUTES, "/a/", stopping)), "/a/");
    t.is(getStatus(resolveRequest({ ...ATTRIBUTES, outputTokens: 500 }, "/a/", stopping)), 503);
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
