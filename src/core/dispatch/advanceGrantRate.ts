import type { GrantRate } from "./grantRate.js";
import type { RequestQueue } from "./requestQueue.js";

/** Events of about the last 10 s count, which covers several rounds of requests of a few seconds. */
const MEMORY_MS = 10_000;

/** Returns the service rate of a queue, including the time that its oldest request has waited until now. */
export function advanceGrantRate(queue: RequestQueue, now: number): GrantRate {
    const [head] = queue.requests;
    const busyMs = head ? Math.max(0, now - Math.max(queue.lastGrantAt ?? 0, head.enqueuedAt)) : 0;
    const decay = Math.exp(-busyMs / MEMORY_MS);
    return {
        recentGrants: queue.recentGrants * decay,
        recentBusyMs: queue.recentBusyMs * decay + MEMORY_MS * (1 - decay),
    };
}
