import type { DispatchState } from "./dispatchState.js";
import type { RequestQueue } from "./requestQueue.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** Removes the waiting requests whose deadline has passed and returns them. */
export function expireRequests(
    state: DispatchState,
    now: number,
): { readonly state: DispatchState; readonly expired: readonly WaitingRequest[]; } {
    const expired: WaitingRequest[] = [];
    const queues = new Map<string, RequestQueue>(state.queues);
    for (const [key, queue] of state.queues) {
        const overdue = queue.requests.filter(request => request.ticket.deadline <= now);
        if (overdue.length > 0) {
            expired.push(...overdue);
            const requests = queue.requests.filter(request => request.ticket.deadline > now);
            queues.set(key, { ...queue, requests });
        }
    }
    return expired.length === 0 ? { state, expired } : { state: { ...state, queues }, expired };
}
