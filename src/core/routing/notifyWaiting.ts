import type { SchedulerDecision } from "./schedulerDecision.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** Passes a decision on to its request; nothing happens while the request goes on waiting. */
export function notifyWaiting(waiting: WaitingRequest, decision: SchedulerDecision): void {
    if (decision.kind === "granted") {
        waiting.onGrant(decision.grant);
    }
    else if (decision.kind === "refused") {
        waiting.onRefuse(decision);
    }
    else if (decision.kind === "failed") {
        waiting.onError(decision.error);
    }
}
