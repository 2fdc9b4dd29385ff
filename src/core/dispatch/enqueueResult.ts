import type { RefusalReason } from "../errors/refusalReason.js";
import type { DispatchState } from "./dispatchState.js";

/** State after the arrival of a request; unchanged if the request was refused. */
export interface EnqueueResult {
    readonly state: DispatchState;
    readonly refusal?: {
        readonly reason: RefusalReason;
        readonly detail: string;
        readonly retryAfterSeconds?: number;
    };
}
