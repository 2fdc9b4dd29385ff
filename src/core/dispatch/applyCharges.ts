import type { DispatchState } from "./dispatchState.js";

/**
 * Adds charged tokens to the requests in flight; charges of other requests are ignored.
 *
 * @param charges Tokens by request id.
 */
export function applyCharges(state: DispatchState, charges: ReadonlyMap<number, number>): DispatchState {
    const requestsInFlight = new Map(state.requestsInFlight);
    for (const [id, tokens] of charges) {
        const request = requestsInFlight.get(id);
        if (request) {
            requestsInFlight.set(id, { ...request, chargedCost: request.chargedCost + tokens });
        }
    }
    return { ...state, requestsInFlight };
}
