import type { RoutedRequest } from "../../../src/core/routing/routedRequest.js";
import type { ServiceScheduler } from "../../../src/core/routing/serviceScheduler.js";
import type { TargetGrant } from "../../../src/core/routing/targetGrant.js";

interface Outcome {
    grant: TargetGrant | undefined;
    refusal: string | undefined;
    error: unknown;
}

/** Enqueues a request and returns an object that records its grant or refusal. */
export function enqueueRequest(
    scheduler: ServiceScheduler,
    request: RoutedRequest,
    now: number,
    options: { readonly excludedTargets?: ReadonlySet<string>; readonly isResume?: boolean; } = {},
): Outcome {
    const outcome: Outcome = { grant: undefined, refusal: undefined, error: undefined };
    scheduler.enqueue({
        request,
        excludedTargets: options.excludedTargets ?? new Set(),
        isResume: options.isResume ?? false,
        onGrant: grant => outcome.grant = grant,
        onRefuse: ({ reason }) => outcome.refusal = reason,
        onError: error => outcome.error = error,
    }, now);
    return outcome;
}
