import type { RequestTicket } from "../request/requestTicket.js";

/** A request that waits for a slot. */
export interface WaitingRequest {
    readonly id: number;
    readonly ticket: RequestTicket;
    /** Monotonic time in milliseconds. */
    readonly enqueuedAt: number;
}
