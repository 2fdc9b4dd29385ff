import type { CrashDetector } from "../core/routing/crashDetector.js";
import type { CrashRecord } from "../core/routing/crashRecord.js";
import { listCrashKeys } from "../core/routing/listCrashKeys.js";
import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { ForwardAttempt } from "./forwardAttempt.js";
import type { ResponseHead } from "./responseHead.js";

interface RequestOutcomeRecords {
    readonly crashDetector: CrashDetector;
    readonly crashRecord: CrashRecord;
}

const OK = 200;
const FIRST_REDIRECTION = 300;

/**
 * Records what a complete response says about the speed of its target, and about its crashes: its end is certain only if the
 * response is framed.
 */
export function recordAttemptSuccess(
    { crashDetector, crashRecord }: RequestOutcomeRecords,
    request: RoutedRequest,
    attempt: ForwardAttempt,
    head: ResponseHead,
    now: number,
): void {
    if (attempt.status < OK || attempt.status >= FIRST_REDIRECTION) {
        return;
    }
    const { target, grantedAt } = attempt.grant;
    if (attempt.headMs !== undefined) {
        target.recordResponse(attempt.headMs, attempt.grant, now);
    }
    if (head.isFramed) {
        crashDetector.recordComplete(crashRecord.listProvenKeys(request), grantedAt, now);
        return;
    }
    const keys = listCrashKeys(request);
    crashDetector.recordEnd(target.descriptor, { keys, sentAt: grantedAt, mayBeComplete: true }, now);
}
