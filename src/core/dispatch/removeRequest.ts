import { buildQueueKey } from "./buildQueueKey.js";
import type { DispatchState } from "./dispatchState.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** Removes a waiting request, for example because the caller has disconnected. */
export function removeRequest(state: DispatchState, request: WaitingRequest): DispatchState {
    const key = buildQueueKey(request.ticket.account, request.ticket.service);
    const queue = state.queues.get(key);
    if (!queue) {
        return state;
    }
    const requests = queue.requests.filter(waiting => waiting.id !== request.id);
    return { ...state, queues: new Map(state.queues).set(key, { ...queue, requests }) };
}
