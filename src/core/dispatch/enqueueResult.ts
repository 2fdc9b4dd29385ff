import type { RefusalReason } from "../errors/refusalReason.js";
import type { DispatchState } from "./dispatchState.js";

/** State after an arrival; with a refusal the request is not in the queue. */
export interface EnqueueResult {
    readonly state: DispatchState;
    readonly refusal?: {
        readonly reason: RefusalReason;
        readonly detail: string;
        readonly retryAfterSeconds?: number;
    };
}
