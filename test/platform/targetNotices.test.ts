import test, { registerCompletionHandler } from "ava";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

/** `drainMs`: after an answer that names the target as leaving, requests may still reach it for this long. */
const DRAIN_MS = 2500;
/** From this time after a 503 with Retry-After until its end, at most this many requests may reach the target. */
const HOLD_GRACE_MS = 500;
const MAX_HELD_REQUESTS = 2;
const REQUEST_INTERVAL_MS = 20;

/** Sends a request each 20 ms for a while, and counts those that were answered with 200. */
async function sendFor(fleet: CooperativeFleet, path: string, durationMs: number): Promise<number> {
    const until = performance.now() + durationMs;
    const results = [];
    while (performance.now() < until) {
        results.push(sendToFleet(fleet, path));
        await new Promise(resolve => setTimeout(resolve, REQUEST_INTERVAL_MS));
    }
    return (await Promise.all(results)).filter(({ status }) => status === 200).length;
}

/** Waits until a target has answered a request, and returns the time of its arrival. */
async function findNextArrival(fleet: CooperativeFleet, path: string, index: number): Promise<number> {
    const target = fleet.targets[index]?.target;
    const before = target?.attempts.length ?? 0;
    await waitUntil("the target gets a request", async () => {
        await sendToFleet(fleet, path);
        return (target?.attempts.length ?? 0) > before;
    });
    return target?.attempts.at(-1) ?? 0;
}

// The header of a leaving target was not read, so that it got requests until the platform's list named it as draining.
test.serial("sends no request to a target that says in any answer that it leaves, and goes on with the others", async t => {
    for (
        const [service, path, values] of [["plain", "/safe/x", ["1"]], ["engine", "/stream/x", [
            "0",
            "1",
        ]]] as const
    ) {
        const fleet = await createRouterFleet(t);
        await sendToFleet(fleet, path);
        const index = fleet.targets.findIndex(({ target }) =>
            target.service === service && target.attempts.length > 0
        );
        const target = fleet.targets[index]?.target;
        target?.setHeader("Server-Leaving", ...values);
        const from = await findNextArrival(fleet, path, index) + DRAIN_MS;
        t.true(await sendFor(fleet, path, DRAIN_MS + 1000) > 0);
        t.is(target?.attempts.filter(at => at > from).length, 0, service);
        await fleet.close();
    }
});

test.serial("believes no unreadable statement that a target leaves, and none of another target at its address", async t => {
    const fleet = await createRouterFleet(t);
    const plain = fleet.targets.filter(({ target }) => target.service === "plain");
    plain.forEach(({ target }) => target.setHeader("Server-Leaving", "0", "true", "", "11"));
    await sendFor(fleet, "/safe/x", 500);
    const before = plain.map(({ target }) => target.attempts.length);
    await sendFor(fleet, "/safe/x", 500);
    t.true(plain.some(({ target }, i) => target.attempts.length > (before[i] ?? 0)));
});

// A target that asked for a pause got further requests, retries among them.
test.serial("sends at most two requests to a target in the time for which it wants none", async t => {
    const fleet = await createRouterFleet(t);
    const index = fleet.targets.findIndex(({ target }) => target.service === "plain");
    const target = fleet.targets[index]?.target;
    target?.setHeader("Retry-After", "2.5");
    target?.setFault(() => "full");
    const at = await findNextArrival(fleet, "/safe/x", index);
    t.true(await sendFor(fleet, "/safe/x", 2600) > 0);
    const held = target?.attempts.filter(other => other > at + HOLD_GRACE_MS && other < at + 2500) ?? [];
    t.true(held.length <= MAX_HELD_REQUESTS, `${held.length} requests`);
    target?.setFault(() => "none");
    target?.setHeader("Retry-After");
    await findNextArrival(fleet, "/safe/x", index);
});

test.serial("refuses requests at once while all their targets want none, with the time until one does", async t => {
    const fleet = await createRouterFleet(t);
    for (const { target } of fleet.targets) {
        target.setHeader("Retry-After", "3");
        target.setFault(() => "full");
    }
    const first = await sendToFleet(fleet, "/unsafe/x");
    t.true(Number(first.headers["retry-after"]) >= 2, "also of a request that all targets have refused");
    const sentAt = performance.now();
    const results = await Promise.all(Array.from({ length: 20 }, () => sendToFleet(fleet, "/unsafe/x")));
    t.true(performance.now() - sentAt < 1000, "refused at once");
    t.true(results.every(({ status }) => status === 503));
    const returns = results.map(({ headers }) => Number(headers["retry-after"]));
    t.true(returns.every(seconds => seconds >= 2), returns.join());
    t.true(new Set(returns).size > 10, "callers return at different times");
});
