import type { RequestTicket } from "../request/requestTicket.js";

/** A request in flight: it holds a slot of a target. */
export interface InFlightRequest {
    readonly id: number;
    readonly ticket: RequestTicket;
    readonly target: string;
    readonly dataCentre: string;
    readonly fencingNumber: number;
    /** Expected cost in tokens. */
    readonly estimatedCost: number;
    /** Tokens charged so far. */
    readonly chargedCost: number;
}
