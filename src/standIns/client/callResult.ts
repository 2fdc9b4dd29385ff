import type { Outcome } from "../../core/errors/outcome.js";

/** Result of one attempt as its caller saw it. Times are wall-clock milliseconds. */
export interface CallResult {
    readonly account: string;
    readonly service: string;
    /** Value of the marker `[request=...]`, under which targets record the request. */
    readonly marker: string;
    readonly idempotencyKey: string | undefined;
    /**
     * - `verified`: the response is complete and equals the expected one.
     * - `wrong`: a response that was presented as complete, or a part of a stream, differs from the expected one.
     * - `incomplete`: the response was visibly cut short, by a broken connection or an error event.
     * - `refused`: the response has an HTTP status of 400 or more, with a problem document.
     * - `unreachable`: no connection was made, so nothing was sent.
     */
    readonly verdict: "verified" | "wrong" | "incomplete" | "refused" | "unreachable";
    /** HTTP status; 0 without a response. */
    readonly status: number;
    /** Outcome and code that the instance stated for a failure; `undefined` when it stated none. */
    readonly outcome: Outcome | undefined;
    readonly code: string | undefined;
    /** Entry address that the attempt went to. */
    readonly entry: string;
    readonly requestId: string | undefined;
    readonly tokens: number;
    readonly startMs: number;
    readonly firstTokenMs: number | undefined;
    readonly endMs: number;
    /** True if `verdict` is `verified`. */
    readonly correct: boolean;
}
