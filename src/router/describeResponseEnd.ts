import type { CallerResponse } from "./callerResponse.js";
import type { ForwardAttempt } from "./forwardAttempt.js";

/** Builds the log fields that tell what the caller of a request got, and for how long its last target had been silent. */
export function describeResponseEnd(
    response: CallerResponse,
    lastAttempt: ForwardAttempt | undefined,
): object {
    return {
        status: response.sentStatus,
        ending: response.ending === "open" ? "left" : response.ending,
        eventsSent: response.eventsSent > 0 ? response.eventsSent : undefined,
        silentMs: lastAttempt && Math.round(lastAttempt.silentMs),
    };
}
