import test from "ava";
import { BodyProgress } from "../../../src/core/bodies/bodyProgress.js";
import { pickBodyToEnd } from "../../../src/core/bodies/pickBodyToEnd.js";

const MIN_IDLE_MS = 500;
const HELD_BYTES = 65_536;
const NOW = 10_000;

/** Creates a body of which `HELD_BYTES` arrived at a time. */
function createBody(arrivedAt: number, heldBytes = HELD_BYTES): BodyProgress {
    const body = BodyProgress.create(0);
    body.record(HELD_BYTES, heldBytes, arrivedAt);
    return body;
}

// Load: 300 bodies that stopped at different times, some large, and ordinary ones that arrive. Guards against a shed that ends
// the caller that arrives last, or bodies that free little.
test("ends stalled bodies in the order of what they hold and for how long, and no body that has just arrived", t => {
    const stalled = Array.from({ length: 300 }, (_, i) => createBody(10 * i, HELD_BYTES * (1 + i % 3)));
    const ordinary = Array.from({ length: 20 }, (_, i) => createBody(NOW - 10 * i, 1_000_000));
    const open = new Set([...ordinary, ...stalled]);
    const costs: number[] = [];
    let body = pickBodyToEnd(open, NOW, MIN_IDLE_MS);
    while (body) {
        open.delete(body);
        costs.push(body.heldBytes * (NOW - body.progressedAt));
        body = pickBodyToEnd(open, NOW, MIN_IDLE_MS);
    }
    t.deepEqual([...open], ordinary);
    t.deepEqual(costs, [...costs].sort((a, b) => b - a));
});

// Load: a body of which a byte arrives every 100 ms. Guards against bodies that escape the shed by bytes without an end.
test("counts single bytes as arrived, but not as progress", t => {
    const body = createBody(1000);
    for (let now = 1100; now <= NOW; now += 100) {
        body.record(1, HELD_BYTES, now);
    }
    t.is(body.arrivedAt, NOW);
    t.is(body.progressedAt, 1000);
    t.is(pickBodyToEnd([createBody(NOW), body], NOW, MIN_IDLE_MS), body);
});

// Load: callers that have sent a head and no body. Guards against ending requests that free no memory.
test("ends no body that holds nothing", t => {
    t.is(pickBodyToEnd([BodyProgress.create(0)], NOW, MIN_IDLE_MS), undefined);
});
