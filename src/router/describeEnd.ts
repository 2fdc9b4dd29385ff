import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { TargetGrant } from "../core/routing/targetGrant.js";

/** Fields of the log line that ends a request: what decided about it and how long that took. */
export function describeEnd(request: RoutedRequest, grant: TargetGrant | undefined): object {
    return {
        request: request.requestId,
        route: request.route.name,
        account: request.account,
        tokens: request.promptTokens,
        target: grant?.target.entry.id,
        promptSource: grant?.promptSource,
        missingTokens: grant?.missingTokens,
        expectedMs: grant && Math.round(grant.expectedMs),
        queuedMs: grant && Math.round(grant.grantedAt - request.receivedAt),
    };
}
