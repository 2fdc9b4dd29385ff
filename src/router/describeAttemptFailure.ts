import { listSharedParts } from "../core/routing/listSharedParts.js";
import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { ForwardAttempt } from "./forwardAttempt.js";

/** Builds the log fields that identify a failed attempt. */
export function describeAttemptFailure(
    request: RoutedRequest,
    attempt: ForwardAttempt,
    kind: string,
    now: number,
): object {
    return {
        request: request.requestId,
        target: attempt.grant.target.descriptor.id,
        version: attempt.grant.target.descriptor.version,
        status: attempt.status,
        afterMs: Math.round(now - attempt.grant.grantedAt),
        key: kind === "broken" ? request.fingerprint?.key : undefined,
        parts: request.prompt.length > 0 ? listSharedParts(request.prompt) : undefined,
    };
}
