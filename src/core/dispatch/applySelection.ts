import { estimateCost } from "../fairness/estimateCost.js";
import { advanceGrantRate } from "./advanceGrantRate.js";
import { buildQueueKey } from "./buildQueueKey.js";
import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchSelection } from "./dispatchSelection.js";
import type { DispatchState } from "./dispatchState.js";

/** Expected cost in tokens of a request without cost history: a short prompt and a short response. */
const DEFAULT_COST_TOKENS = 500;

/** Moves the selected request from its queue to the requests in flight and records the grant. */
export function applySelection(
    state: DispatchState,
    selection: DispatchSelection,
    inputs: DispatchInputs,
): DispatchState {
    const { queue, head } = selection.queue;
    const { target, distance } = selection.target;
    const key = buildQueueKey(queue.account, queue.service);
    const service = inputs.index.services.get(queue.service);
    const history = service?.kind === "plain"
        ? { averageCost: service.requestCost, hintRatio: 1 }
        : state.costs.get(key);
    const rate = advanceGrantRate(queue, inputs.now);
    const lastGrants = new Map(state.lastGrants);
    for (let maxDistance: number = distance; maxDistance <= 2; maxDistance += 1) {
        lastGrants.set(`${queue.service}/${maxDistance}`, inputs.now);
    }
    return {
        ...state,
        lastGrants,
        queues: new Map(state.queues).set(key, {
            ...queue,
            requests: queue.requests.slice(1),
            lastGrantAt: inputs.now,
            recentGrants: rate.recentGrants + 1,
            recentBackloggedMs: rate.recentBackloggedMs,
        }),
        requestsInFlight: new Map(state.requestsInFlight).set(head.id, {
            id: head.id,
            ticket: head.ticket,
            target: target.name,
            dataCentre: target.dataCentre,
            fencingNumber: selection.target.allowance.fencingNumber,
            estimatedCost: estimateCost(history, head.ticket.hintedCost, DEFAULT_COST_TOKENS),
            chargedCost: 0,
        }),
    };
}
