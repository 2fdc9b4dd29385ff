import type { RoutedRequest } from "./routedRequest.js";
import type { SchedulerRefusal } from "./schedulerRefusal.js";
import type { TargetGrant } from "./targetGrant.js";

/** A request that waits for a target. */
export interface WaitingRequest {
    readonly request: RoutedRequest;
    /** Identifiers of targets that failed the request and are not tried again. */
    readonly excludedTargets: ReadonlySet<string>;
    /** True for a request with an earlier attempt, whose response may have begun; it is never refused. */
    readonly isResume: boolean;
    readonly onGrant: (grant: TargetGrant) => void;
    readonly onRefuse: (refusal: SchedulerRefusal) => void;
    /** Called with an unexpected error in deciding on the request, which does not wait any more. */
    readonly onError: (error: unknown) => void;
}
