import type { DispatchState } from "./dispatchState.js";

/** Time after its last grant for which an empty queue and its rate are kept, as long as the rate's time constant. */
const EMPTY_QUEUE_MS = 10_000;

/** Evicts empty queues without a recent grant, so that decisions only consider recently active accounts. */
export function evictQueues(state: DispatchState, now: number): DispatchState {
    const queues = [...state.queues].filter(([, queue]) =>
        queue.requests.length > 0 || (queue.lastGrantAt ?? 0) > now - EMPTY_QUEUE_MS
    );
    return queues.length === state.queues.size ? state : { ...state, queues: new Map(queues) };
}
