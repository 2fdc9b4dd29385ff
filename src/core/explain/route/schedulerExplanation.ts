import type { AccountShares } from "../../routing/accountShares.js";
import type { SchedulerDecision } from "../../routing/schedulerDecision.js";
import type { TargetCandidate } from "../../routing/targetCandidate.js";
import type { TargetDescriptor } from "../../routing/targetDescriptor.js";

/** What the scheduler of a service would decide on a request now, and why. */
export interface SchedulerExplanation {
    readonly status: ReturnType<AccountShares["getStatus"]>;
    readonly decision:
        | SchedulerDecision
        | { readonly kind: "refused"; readonly reason: "over-share"; readonly retryAfterMs: number; };
    /** Targets with capacity for the request, the lowest score first. */
    readonly candidates: readonly TargetCandidate[];
    /** Whether one of the candidates that are nearly as good as the best is chosen by weight, in place of the best. */
    readonly isChoiceWeighted: boolean;
    /** Other targets of the service, and why the request would not be sent there. */
    readonly leftOut: readonly { readonly target: TargetDescriptor; readonly reason: string; }[];
}
