import { advanceGrantRate } from "./advanceGrantRate.js";
import type { RequestQueue } from "./requestQueue.js";

/** Less time in the queue than this says too little about the rate to refuse a request. */
const MIN_BUSY_MS = 1000;

/**
 * Returns the expected wait of the next arrival in milliseconds: queue length divided by the measured service
 * rate of the account. `undefined` while the queue is empty or the rate is unknown, so that an account can
 * always probe with one request.
 */
export function estimateWait(queue: RequestQueue, now: number): number | undefined {
    const { recentGrants, recentBusyMs } = advanceGrantRate(queue, now);
    if (queue.requests.length === 0 || recentBusyMs < MIN_BUSY_MS || recentGrants === 0) {
        return undefined;
    }
    return queue.requests.length * recentBusyMs / recentGrants;
}
