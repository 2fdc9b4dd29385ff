import type { IncomingMessage } from "node:http";
import type { TargetFault } from "./targetFault.js";

/** Request that a stand-in of the cooperative's targets has run. */
export interface TargetArrival {
    readonly requestId: string;
    readonly path: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    /** Number of the last event that the caller has; 0 for a new stream. */
    readonly lastEventId: number;
    /** Software version of the target at the start of the request. */
    readonly version: string;
    readonly fault: TargetFault;
    /** Monotonic time in milliseconds. */
    readonly at: number;
}
