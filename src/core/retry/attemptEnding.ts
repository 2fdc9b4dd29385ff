/**
 * How one attempt of a request at one target ended.
 *
 * - `not-written`: no byte reached the target.
 * - `refused`: the target refused the request by its protocol and did not run it.
 * - `completed`: the whole response arrived.
 * - `broken`: the request was written, but no whole response to it arrived.
 */
export type AttemptEnding =
    | {
        readonly kind: "not-written";
        readonly reason: "connection-failed" | "start-deadline-passed" | "caller-disconnected";
    }
    | { readonly kind: "refused"; readonly reason: "target-overloaded" | "target-not-run"; }
    | { readonly kind: "completed"; }
    | {
        readonly kind: "broken";
        readonly reason:
            | "truncated"
            | "reset"
            | "stalled"
            | "answer-mismatched"
            | "status-invalid"
            | "caller-disconnected";
    };
