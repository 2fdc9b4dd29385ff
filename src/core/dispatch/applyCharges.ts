import type { DispatchState } from "./dispatchState.js";

/**
 * Adds charged tokens to the requests in flight; charges of other requests are ignored.
 *
 * @param charges Tokens by request id.
 */
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
