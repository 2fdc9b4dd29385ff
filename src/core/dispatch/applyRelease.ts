import { updateCostHistory } from "../fairness/updateCostHistory.js";
import type { SlotResult } from "../request/slotResult.js";
import { buildQueueKey } from "./buildQueueKey.js";
import type { DispatchState } from "./dispatchState.js";

/** Frees the slot of a request, counts an answer that shows a lower limit, and learns the cost of a completed request. */
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
    if (result.ending !== "completed") {
        return { ...state, flights, answers };
    }
    const { account, service, hintedCost } = flight.ticket;
    const key = buildQueueKey(account, service);
    const history = updateCostHistory(state.costs.get(key), result.cost, hintedCost);
    return { ...state, flights, answers, costs: new Map(state.costs).set(key, history) };
}
