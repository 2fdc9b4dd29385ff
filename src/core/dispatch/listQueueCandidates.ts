import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchState } from "./dispatchState.js";
import type { QueueCandidate } from "./queueCandidate.js";

/** Lists the queues of a service that have waiting requests, with the normalised service of their accounts. */
export function listQueueCandidates(
    state: DispatchState,
    service: string,
    inputs: DispatchInputs,
): readonly QueueCandidate[] {
    const queues = [...state.queues.values()].filter(queue =>
        queue.service === service && queue.requests.length > 0
    );
    if (queues.length === 0) {
        return [];
    }
    const remainingCosts = new Map<string, number>();
    for (const { ticket, estimatedCost, chargedCost } of state.requestsInFlight.values()) {
        const remainingCost = Math.max(0, estimatedCost - chargedCost);
        remainingCosts.set(ticket.account, (remainingCosts.get(ticket.account) ?? 0) + remainingCost);
    }
    // A waiting account is backlogged, so its service is at least the lowest one, even before the counters
    // record that it waits.
    const lowest = inputs.fairness.lowestBacklogged ?? 0;
    return queues.flatMap(queue => {
        const [head] = queue.requests;
        const served = Math.max(lowest, inputs.fairness.getNormalizedService(queue.account));
        const inFlight = (remainingCosts.get(queue.account) ?? 0) / inputs.index.getWeight(queue.account);
        return head ? [{ queue, head, normalizedService: served + inFlight }] : [];
    });
}
