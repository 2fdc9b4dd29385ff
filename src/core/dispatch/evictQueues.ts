import type { DispatchState } from "./dispatchState.js";

/** A queue that has been empty for this long has forgotten its rate (see `advanceGrantRate`). */
const EMPTY_QUEUE_MS = 10_000;

/** Evicts empty queues, so that decisions only look at accounts that were active lately. */
export function evictQueues(state: DispatchState, now: number): DispatchState {
    const queues = [...state.queues].filter(([, queue]) =>
        queue.requests.length > 0 || (queue.lastGrantAt ?? 0) > now - EMPTY_QUEUE_MS
    );
    return queues.length === state.queues.size ? state : { ...state, queues: new Map(queues) };
}
