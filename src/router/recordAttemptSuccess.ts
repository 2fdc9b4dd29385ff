import type { CrashDetector } from "../core/routing/crashDetector.js";
import { listSharedParts } from "../core/routing/listSharedParts.js";
import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { ForwardAttempt } from "./forwardAttempt.js";
import type { ResponseHead } from "./responseHead.js";

const OK = 200;

/** Records what a complete response says about crashes of its target: its end is certain only if the response is framed. */
export function recordAttemptSuccess(
    crashDetector: CrashDetector,
    request: RoutedRequest,
    attempt: ForwardAttempt,
    head: ResponseHead,
    now: number,
): void {
    if (attempt.status !== OK) {
        return;
    }
    const { target, grantedAt } = attempt.grant;
    const partIds = listSharedParts(request.prompt);
    if (head.isFramed) {
        crashDetector.recordComplete(partIds, grantedAt, now);
        return;
    }
    crashDetector.recordEnd(target.descriptor, { partIds, sentAt: grantedAt, mayBeComplete: true }, now);
}
