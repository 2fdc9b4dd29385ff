import type { Target } from "../configuration/target.js";
import type { RequestTicket } from "./requestTicket.js";

/** Permission to have one request in flight at a target. */
export interface SlotGrant {
    readonly ticket: RequestTicket;
    readonly target: Target;
    readonly fencingNumber: number;
    /** Monotonic time in milliseconds after which the request may no longer be written to the target. */
    readonly startDeadline: number;
}
