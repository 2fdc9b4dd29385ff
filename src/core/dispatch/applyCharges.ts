import type { DispatchState } from "./dispatchState.js";

/** Records tokens charged to requests in flight, by request. */
export function applyCharges(state: DispatchState, charges: ReadonlyMap<number, number>): DispatchState {
    const flights = new Map(state.flights);
    for (const [id, tokens] of charges) {
        const flight = flights.get(id);
        if (flight) {
            flights.set(id, { ...flight, chargedCost: flight.chargedCost + tokens });
        }
    }
    return { ...state, flights };
}
