import type { CrashDetector } from "../core/routing/crashDetector.js";
import { listCrashKeys } from "../core/routing/listCrashKeys.js";
import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { FailureKind } from "./failureKind.js";
import type { ForwardAttempt } from "./forwardAttempt.js";

/** Failures with which the connection to the target has ended while it was serving the request. */
const LOST_CONNECTION_REASONS: ReadonlySet<string> = new Set([
    "ECONNRESET",
    "ECONNABORTED",
    "EPIPE",
    "no-head",
    "truncated",
]);
/** Failures that show that the target's process has ended. */
const GONE_REASONS: ReadonlySet<string> = new Set(["ECONNREFUSED", "misdirected"]);

/**
 * Records what a failed attempt says about crashes of its target.
 *
 * @returns True if the target may have crashed on the request.
 */
export function recordAttemptFailure(
    crashDetector: CrashDetector,
    request: RoutedRequest,
    attempt: ForwardAttempt,
    kind: FailureKind,
    reason: string,
    now: number,
): boolean {
    const { target, grantedAt } = attempt.grant;
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
