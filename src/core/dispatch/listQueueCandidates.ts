import type { DispatchFacts } from "./dispatchFacts.js";
import type { DispatchState } from "./dispatchState.js";
import type { QueueCandidate } from "./queueCandidate.js";

/** Lists the queues of a service that have waiting requests, with the normalised service of their accounts. */
export function listQueueCandidates(
    state: DispatchState,
    service: string,
    facts: DispatchFacts,
): readonly QueueCandidate[] {
    const queues = [...state.queues.values()].filter(queue =>
        queue.service === service && queue.requests.length > 0
    );
    if (queues.length === 0) {
        return [];
    }
    const expected = new Map<string, number>();
    for (const { ticket, estimatedCost, chargedCost } of state.flights.values()) {
        const rest = Math.max(0, estimatedCost - chargedCost);
        expected.set(ticket.account, (expected.get(ticket.account) ?? 0) + rest);
    }
    // A waiting account is backlogged, so its service is at least the lowest one, even before the counters
    // record that it waits.
    const lowest = facts.fairness.lowestBacklogged ?? 0;
    return queues.flatMap(queue => {
        const [head] = queue.requests;
        const served = Math.max(lowest, facts.fairness.getNormalizedService(queue.account));
        const inFlight = (expected.get(queue.account) ?? 0) / facts.index.getShare(queue.account);
        return head ? [{ queue, head, service: served + inFlight }] : [];
    });
}
