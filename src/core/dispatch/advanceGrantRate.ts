import type { GrantRate } from "./grantRate.js";
import type { RequestQueue } from "./requestQueue.js";

/** Time constant of the decay: 10 s cover several rounds of requests that take a few seconds each. */
const MEMORY_MS = 10_000;

/**
 * Returns the decayed grant rate of a queue, including the time for which its oldest request has waited so far.
 * Only time with waiting requests decays it.
 */
export function advanceGrantRate(queue: RequestQueue, now: number): GrantRate {
    const [head] = queue.requests;
    const busyMs = head ? Math.max(0, now - Math.max(queue.lastGrantAt ?? 0, head.enqueuedAt)) : 0;
    const decay = Math.exp(-busyMs / MEMORY_MS);
    return {
        recentGrants: queue.recentGrants * decay,
        recentBusyMs: queue.recentBusyMs * decay + MEMORY_MS * (1 - decay),
    };
}
