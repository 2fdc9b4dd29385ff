import type { WaitingRequest } from "./waitingRequest.js";

/** Waiting requests of one client account for one service. */
export interface RequestQueue {
    readonly account: string;
    readonly service: string;
    /** Oldest first. */
    readonly requests: readonly WaitingRequest[];
    /** Monotonic time in milliseconds of the last grant. */
    readonly lastGrantAt: number | undefined;
    /** Number of grants, decayed exponentially. */
    readonly recentGrants: number;
    /** Time during which requests waited, decayed in the same way, in milliseconds. */
    readonly recentBusyMs: number;
}
