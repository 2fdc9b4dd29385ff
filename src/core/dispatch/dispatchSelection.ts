import type { QueueCandidate } from "./queueCandidate.js";
import type { TargetCandidate } from "./targetCandidate.js";

/** The next request to start and the slot that it gets. */
export interface DispatchSelection {
    readonly queue: QueueCandidate;
    readonly target: TargetCandidate;
}
