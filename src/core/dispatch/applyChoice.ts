import { estimateCost } from "../fairness/estimateCost.js";
import { advanceGrantRate } from "./advanceGrantRate.js";
import { buildQueueKey } from "./buildQueueKey.js";
import type { DispatchChoice } from "./dispatchChoice.js";
import type { DispatchFacts } from "./dispatchFacts.js";
import type { DispatchState } from "./dispatchState.js";

/** Expected cost in tokens of a request without cost history: a short prompt and a short response. */
const DEFAULT_COST = 500;

/** Moves the selected request from its queue to the requests in flight and records the grant. */
export function applyChoice(
    state: DispatchState,
    choice: DispatchChoice,
    facts: DispatchFacts,
): DispatchState {
    const { queue, head } = choice.queue;
    const { target, distance } = choice.target;
    const key = buildQueueKey(queue.account, queue.service);
    const service = facts.index.services.get(queue.service);
    const history = service?.kind === "plain"
        ? { averageCost: service.requestCost, hintRatio: 1 }
        : state.costs.get(key);
    const rate = advanceGrantRate(queue, facts.now);
    const lastGrants = new Map(state.lastGrants);
    for (let reached: number = distance; reached <= 2; reached += 1) {
        lastGrants.set(`${queue.service}/${reached}`, facts.now);
    }
    return {
        ...state,
        lastGrants,
        queues: new Map(state.queues).set(key, {
            ...queue,
            requests: queue.requests.slice(1),
            lastGrantAt: facts.now,
            recentGrants: rate.recentGrants + 1,
            recentBusyMs: rate.recentBusyMs,
        }),
        flights: new Map(state.flights).set(head.id, {
            id: head.id,
            ticket: head.ticket,
            target: target.name,
            dataCentre: target.dataCentre,
            fencingNumber: choice.target.allowance.fencingNumber,
            estimatedCost: estimateCost(history, head.ticket.hintedCost, DEFAULT_COST),
            chargedCost: 0,
        }),
    };
}
