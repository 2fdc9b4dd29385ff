import type { RequestQueue } from "./requestQueue.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** A queue with waiting requests that a policy can select. */
export interface QueueCandidate {
    readonly queue: RequestQueue;
    readonly head: WaitingRequest;
    /** Normalised service including the estimated cost in flight, in tokens per unit of share. */
    readonly normalizedService: number;
}
