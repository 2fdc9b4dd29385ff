import { advanceGrantRate } from "./advanceGrantRate.js";
import type { RequestQueue } from "./requestQueue.js";

/** With less queueing time than this the rate is too uncertain to refuse a request. */
const MIN_BUSY_MS = 1000;
/** With fewer recent grants the rate is too uncertain: the first ones come when a pool has just been taken over. */
const MIN_GRANTS = 4;

/**
 * Returns the expected wait of the next arrival in milliseconds: the queue length divided by the measured grant
 * rate of the account. The rate is raised by one standard deviation of a Poisson count, because a wrong refusal
 * costs more than a request that waits in vain. `undefined` while the queue is empty, the rate is unknown or slots
 * are free: a rate measured under low demand does not predict the rate under high demand.
 *
 * @param hasFreeSlots True if a pool of the service has free slots beyond the demand.
 */
export function estimateWait(queue: RequestQueue, now: number, hasFreeSlots: boolean): number | undefined {
    const { recentGrants, recentBusyMs } = advanceGrantRate(queue, now);
    const isUnknown = recentBusyMs < MIN_BUSY_MS || recentGrants < MIN_GRANTS;
    if (queue.requests.length === 0 || isUnknown || hasFreeSlots) {
        return undefined;
    }
    return queue.requests.length * recentBusyMs / (recentGrants + Math.sqrt(recentGrants));
}
