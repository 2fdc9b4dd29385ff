import { updateCostHistory } from "../fairness/updateCostHistory.js";
import { buildPoolKey } from "../lease/buildPoolKey.js";
import type { SlotResult } from "../request/slotResult.js";
import { buildQueueKey } from "./buildQueueKey.js";
import { countInUse } from "./countInUse.js";
import type { DispatchState } from "./dispatchState.js";
import type { Flight } from "./flight.js";

/**
 * Frees the slot of a request, counts a response that shows reduced capacity, and adds a completed request to the
 * cost history. After such a response the free slots of the target are returned to the owner, which knows how many
 * are left; reusing them would send requests to the target before the owner reduces the lease.
 */
export function applyRelease(state: DispatchState, id: number, result: SlotResult): DispatchState {
    const flight = state.flights.get(id);
    if (!flight) {
        return state;
    }
    const flights = new Map(state.flights);
    flights.delete(id);
    const isCold = result.targetState === "cold";
    const isBusy = !isCold && result.ending === "refused";
    const known = state.answers.get(flight.target);
    const answers = isCold || isBusy
        ? new Map(state.answers).set(flight.target, {
            cold: (known?.cold ?? 0) + (isCold ? 1 : 0),
            busy: (known?.busy ?? 0) + (isBusy ? 1 : 0),
        })
        : state.answers;
    const pools = isCold || isBusy ? withdrawSlots({ ...state, flights }, flight) : state.pools;
    if (result.ending !== "completed") {
        return { ...state, flights, answers, pools };
    }
    const { account, service, hintedCost } = flight.ticket;
    const key = buildQueueKey(account, service);
    const history = updateCostHistory(state.costs.get(key), result.cost, hintedCost);
    return { ...state, flights, answers, pools, costs: new Map(state.costs).set(key, history) };
}

function withdrawSlots(state: DispatchState, flight: Flight): DispatchState["pools"] {
    const key = buildPoolKey(flight.ticket.service, flight.dataCentre);
    const pool = state.pools.get(key);
    const lease = pool?.leases.get(flight.target);
    const used = countInUse(state).get(flight.target) ?? 0;
    if (!pool || !lease || lease.slots <= used) {
        return state.pools;
    }
    return new Map(state.pools).set(key, {
        ...pool,
        leases: new Map(pool.leases).set(flight.target, { ...lease, slots: used, unusedSince: undefined }),
        returns: pool.returns + 1,
        returnSequence: pool.reportSequence + 1,
    });
}
