/**
 * Why a request ends without the response of a target: its time is used up, its attempts have failed, no target is to be
 * had for it, the instance stops, an unexpected error, or what the caller sent cannot be accepted. A number is the status
 * of a refusal by the request's headers.
 */
type EndCause =
    | "deadline"
    | "target-failed"
    | "no-target"
    | "stopping"
    | "internal-error"
    | "body-too-large"
    | "memory-limit"
    | "body-stalled"
    | "body-shed"
    | "unreadable"
    | "read-too-late"
    | number;

interface RequestEndContext {
    readonly cause: EndCause;
    /** True once a byte of a response has been sent to the caller. */
    readonly isStarted: boolean;
    /** True unless it is certain that no target has executed the request, and that none will. */
    readonly mayHaveRun: boolean;
    /** Time in milliseconds after which a request that has not run may come back. */
    readonly retryAfterMs: number | undefined;
}

/** What the caller gets; `isLast` is true if no further request is read from its connection. */
type RequestEnd =
    | { readonly kind: "close"; }
    | {
        readonly kind: "respond";
        readonly status: number;
        readonly retryAfterMs: number | undefined;
        readonly isLast: boolean;
    };

const BAD_REQUEST = 400;
const REQUEST_TIMEOUT = 408;
const PAYLOAD_TOO_LARGE = 413;
const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
/** Statuses that promise that the request has not run and never will: 408, 421, 429 and 503. */
const PROMISES: ReadonlySet<number> = new Set([REQUEST_TIMEOUT, 421, 429, SERVICE_UNAVAILABLE]);
const STATUSES: Readonly<Record<string, number>> = {
    "body-too-large": PAYLOAD_TOO_LARGE,
    "unreadable": BAD_REQUEST,
    "read-too-late": REQUEST_TIMEOUT,
    "body-stalled": REQUEST_TIMEOUT,
};
const LAST_CAUSES: ReadonlySet<EndCause> = new Set([
    "unreadable",
    "read-too-late",
    "body-stalled",
    "body-shed",
]);

/**
 * Decides how a request that was read ends if no target's response does: every path on which the router itself ends a
 * request asks here. A response that has begun can only be closed, so that it is not taken for a whole one.
 */
export function planRequestEnd(
    { cause, isStarted, mayHaveRun, retryAfterMs }: RequestEndContext,
): RequestEnd {
    if (isStarted) {
        return { kind: "close" };
    }
    const wanted = typeof cause === "number" ? cause : STATUSES[cause] ?? SERVICE_UNAVAILABLE;
    const afterRun = cause === "deadline" ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    const status = mayHaveRun && PROMISES.has(wanted) ? afterRun : wanted;
    return {
        kind: "respond",
        status,
        retryAfterMs: status === SERVICE_UNAVAILABLE ? retryAfterMs : undefined,
        isLast: LAST_CAUSES.has(cause),
    };
}
