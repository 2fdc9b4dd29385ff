import type { Outcome } from "../../core/errors/outcome.js";

/** How one call of the client ended. Times are wall-clock milliseconds. */
export interface CallResult {
    readonly account: string;
    readonly service: string;
    /** Value of the marker `[request=...]`, by which targets record the call. */
    readonly marker: string;
    readonly idempotencyKey: string | undefined;
    /**
     * - `verified`: the answer is whole and equals what the request has to get.
     * - `wrong`: an answer that was presented as complete, or a part of a stream, differs.
     * - `incomplete`: the answer broke off and said so.
     * - `refused`: a problem document.
     * - `unreachable`: no connection, so nothing was sent.
     */
    readonly verdict: "verified" | "wrong" | "incomplete" | "refused" | "unreachable";
    /** HTTP status; 0 without an answer. */
    readonly status: number;
    /** Outcome and code that the instance stated for a failure; `undefined` when it stated none. */
    readonly outcome: Outcome | undefined;
    readonly code: string | undefined;
    /** Entry address that the call went to. */
    readonly entry: string;
    readonly requestId: string | undefined;
    readonly tokens: number;
    readonly startMs: number;
    readonly firstTokenMs: number | undefined;
    readonly endMs: number;
    /** True if `verdict` is `verified`. */
    readonly correct: boolean;
}
