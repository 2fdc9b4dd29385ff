import test from "ava";
import { RouteDurations } from "../../../src/core/routing/routeDurations.js";

function makeRequest(
    name: string,
    outputTokens = 0,
): { readonly route: { readonly name: string; }; readonly outputTokens: number; } {
    return { route: { name }, outputTokens };
}

test("knows nothing of a route of which no request has ended", t => {
    const durations = RouteDurations.create();
    durations.record(makeRequest("a"), 100);
    t.is(durations.estimate(makeRequest("b")), Number.POSITIVE_INFINITY);
});

test("expects a request to last longer than those of its route have, by how much they differ", t => {
    const steady = RouteDurations.create();
    const varied = RouteDurations.create();
    for (let i = 0; i < 100; i += 1) {
        steady.record(makeRequest("a"), 3000);
        varied.record(makeRequest("a"), i % 2 === 0 ? 1000 : 5000);
    }
    t.true(Math.abs(steady.estimate(makeRequest("a")) - 3000) < 1);
    t.true(varied.estimate(makeRequest("a")) > 5000);
});

test("follows a route that becomes slower within a few requests", t => {
    const durations = RouteDurations.create();
    for (let i = 0; i < 100; i += 1) {
        durations.record(makeRequest("a"), 100);
    }
    durations.record(makeRequest("a"), 3000);
    durations.record(makeRequest("a"), 3000);
    t.true(durations.estimate(makeRequest("a")) > 3000);
});

test("expects a request with more output tokens to take longer", t => {
    const durations = RouteDurations.create();
    for (let i = 0; i < 100; i += 1) {
        durations.record(makeRequest("a", 20), 500);
    }
    t.true(durations.estimate(makeRequest("a", 200)) > 2 * durations.estimate(makeRequest("a", 20)));
});

test("forgets the oldest of more than a thousand routes, so that ever new ones take no memory", t => {
    const durations = RouteDurations.create();
    for (let i = 0; i <= 1000; i += 1) {
        durations.record(makeRequest(`route-${i}`), 100);
    }
    t.is(durations.estimate(makeRequest("route-0")), Number.POSITIVE_INFINITY);
    t.true(durations.estimate(makeRequest("route-1000")) < 1000);
});
