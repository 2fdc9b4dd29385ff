import type { CrashDetector } from "../core/routing/crashDetector.js";
import { listCrashKeys } from "../core/routing/listCrashKeys.js";
import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { TargetStarts } from "../core/routing/targetStarts.js";
import type { FailureKind } from "./failureKind.js";
import type { ForwardAttempt } from "./forwardAttempt.js";

interface FailureRecords {
    readonly crashDetector: CrashDetector;
    readonly targetStarts: TargetStarts;
}

/** Failures with which the connection to the target has ended while it was serving the request. */
const LOST_CONNECTION_REASONS: ReadonlySet<string> = new Set([
    "ECONNRESET",
    "ECONNABORTED",
    "EPIPE",
    "no-head",
    "truncated",
]);
const CONNECTION_REFUSED = "ECONNREFUSED";
/** Failures that show that the registered process of the target has ended. */
const GONE_REASONS: ReadonlySet<string> = new Set([CONNECTION_REFUSED, "misdirected", "restarted"]);

/**
 * Records what a failed attempt says about crashes and restarts of its target.
 *
 * @returns True if the target may have crashed on the request.
 */
export function recordAttemptFailure(
    { crashDetector, targetStarts }: FailureRecords,
    request: RoutedRequest,
    attempt: ForwardAttempt,
    kind: FailureKind,
    reason: string,
    now: number,
): boolean {
    const { target, grantedAt } = attempt.grant;
    if (LOST_CONNECTION_REASONS.has(reason) || reason === CONNECTION_REFUSED) {
        targetStarts.recordBreak(target.descriptor, now);
    }
    if (kind !== "broken") {
        if (GONE_REASONS.has(reason)) {
            crashDetector.recordGone(target.descriptor.id, now);
        }
        return false;
    }
    if (!LOST_CONNECTION_REASONS.has(reason)) {
        return false;
    }
    const keys = listCrashKeys(request);
    crashDetector.recordEnd(target.descriptor, { keys, sentAt: grantedAt, mayBeComplete: false }, now);
    return true;
}
