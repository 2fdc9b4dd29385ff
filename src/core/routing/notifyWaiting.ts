import type { ServiceReturns } from "../returns/serviceReturns.js";
import type { SchedulerDecision } from "./schedulerDecision.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** Records a decision and passes it on to its request; nothing happens while the request goes on waiting. */
export function notifyWaiting(
    waiting: WaitingRequest,
    decision: SchedulerDecision,
    returns: Pick<ServiceReturns, "recordDecision">,
    now: number,
): void {
    returns.recordDecision(waiting, decision, now);
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
