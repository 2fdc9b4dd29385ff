import { advanceGrantRate } from "./advanceGrantRate.js";
import type { RequestQueue } from "./requestQueue.js";

/** Less time in the queue than this says too little about the rate to refuse a request. */
const MIN_BUSY_MS = 1000;
/** Fewer recent grants than this say too little: the first ones come when a pool has just been taken over. */
const MIN_GRANTS = 4;

/**
 * Returns the expected wait of the next arrival in milliseconds: queue length divided by the measured service
 * rate of the account. The rate is taken one standard deviation of a Poisson count higher, because a request that is
 * refused wrongly costs more than one that waits in vain. `undefined` while the queue is empty, the rate is unknown or
 * slots are free, because a rate measured with little demand says nothing about a larger one.
 *
 * @param hasFreeSlots True if a pool of the service has slots that nobody waits for.
 */
export function estimateWait(queue: RequestQueue, now: number, hasFreeSlots: boolean): number | undefined {
    const { recentGrants, recentBusyMs } = advanceGrantRate(queue, now);
    const isUnknown = recentBusyMs < MIN_BUSY_MS || recentGrants < MIN_GRANTS;
    if (queue.requests.length === 0 || isUnknown || hasFreeSlots) {
        return undefined;
    }
    return queue.requests.length * recentBusyMs / (recentGrants + Math.sqrt(recentGrants));
}
