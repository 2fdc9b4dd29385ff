import { updateCostHistory } from "../fairness/updateCostHistory.js";
import type { SlotResult } from "../request/slotResult.js";
import { buildQueueKey } from "./buildQueueKey.js";
import type { DispatchState } from "./dispatchState.js";

/** Frees the slot of a request and learns its cost if it was completed. */
export function applyRelease(state: DispatchState, id: number, result: SlotResult): DispatchState {
    const flight = state.flights.get(id);
    if (!flight) {
        return state;
    }
    const flights = new Map(state.flights);
    flights.delete(id);
    if (result.ending !== "completed") {
        return { ...state, flights };
    }
    const { account, service, hintedCost } = flight.ticket;
    const key = buildQueueKey(account, service);
    const history = updateCostHistory(state.costs.get(key), result.cost, hintedCost);
    return { ...state, flights, costs: new Map(state.costs).set(key, history) };
}
