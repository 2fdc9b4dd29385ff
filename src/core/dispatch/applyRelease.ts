import { updateCostHistory } from "../fairness/updateCostHistory.js";
import { buildPoolKey } from "../lease/buildPoolKey.js";
import type { SlotResult } from "../request/slotResult.js";
import { buildQueueKey } from "./buildQueueKey.js";
import { countInUse } from "./countInUse.js";
import type { DispatchState } from "./dispatchState.js";
import type { InFlightRequest } from "./inFlightRequest.js";

/**
 * Frees the slot of a request, counts a response that shows reduced capacity, and adds a completed request to the
 * cost history. After such a response the free slots of the target are returned to the owner, which knows how many
 * are left; reusing them would send requests to the target before the owner reduces the lease.
 */
export function applyRelease(state: DispatchState, id: number, result: SlotResult): DispatchState {
    const request = state.requestsInFlight.get(id);
    if (!request) {
        return state;
    }
    const requestsInFlight = new Map(state.requestsInFlight);
    requestsInFlight.delete(id);
    const isCold = result.targetState === "cold";
    const isBusy = !isCold && result.ending === "refused";
    const previous = state.responseCounts.get(request.target);
    const responseCounts = isCold || isBusy
        ? new Map(state.responseCounts).set(request.target, {
            cold: (previous?.cold ?? 0) + (isCold ? 1 : 0),
            busy: (previous?.busy ?? 0) + (isBusy ? 1 : 0),
        })
        : state.responseCounts;
    const pools = isCold || isBusy ? releaseFreeSlots({ ...state, requestsInFlight }, request) : state.pools;
    if (result.ending !== "completed") {
        return { ...state, requestsInFlight, responseCounts, pools };
    }
    const { account, service, hintedCost } = request.ticket;
    const key = buildQueueKey(account, service);
    const history = updateCostHistory(state.costs.get(key), result.cost, hintedCost);
    return {
        ...state,
        requestsInFlight,
        responseCounts,
        pools,
        costs: new Map(state.costs).set(key, history),
    };
}

function releaseFreeSlots(state: DispatchState, request: InFlightRequest): DispatchState["pools"] {
    const key = buildPoolKey(request.ticket.service, request.dataCentre);
    const pool = state.pools.get(key);
    const lease = pool?.leases.get(request.target);
    const used = countInUse(state).get(request.target) ?? 0;
    if (!pool || !lease || lease.slots <= used) {
        return state.pools;
    }
    return new Map(state.pools).set(key, {
        ...pool,
        leases: new Map(pool.leases).set(request.target, { ...lease, slots: used, unusedSince: undefined }),
        returnCount: pool.returnCount + 1,
        returnSequence: pool.reportSequence + 1,
    });
}
