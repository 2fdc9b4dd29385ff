import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { ForwardAttempt } from "./forwardAttempt.js";

const RATIO_DIGITS = 2;

/** Builds the log fields for the end of a request: its attributes, the selected target, the time in the queue and at the target. */
export function describeRequestEnd(
    request: RoutedRequest,
    attempt: ForwardAttempt | undefined,
): object {
    const grant = attempt?.grant;
    const firstEventAt = attempt?.firstEventAt;
    return {
        request: request.requestId,
        route: request.route.name,
        account: request.account,
        tokens: request.promptTokens,
        resumesAfter: request.resumesAfter,
        acceptWaitMs: request.acceptWaitMs,
        isRelayed: request.isRelayed === true ? true : undefined,
        target: grant?.target.descriptor.id,
        version: grant?.target.descriptor.version,
        promptSource: grant?.promptSource,
        missingTokens: grant?.missingTokens,
        expectedMs: grant && Math.round(grant.expectedMs),
        spilledTo: grant?.spill?.dataCentre,
        isOtherRegion: grant?.spill?.isOtherRegion,
        spillGainMs: grant?.spill?.gainMs === undefined ? undefined : Math.round(grant.spill.gainMs),
        timeRatio: grant && Number(grant.timeRatio.toFixed(RATIO_DIGITS)),
        queuedMs: grant && Math.round(grant.grantedAt - request.receivedAt),
        firstEventMs: grant && firstEventAt !== undefined
            ? Math.round(firstEventAt - grant.grantedAt)
            : undefined,
    };
}
