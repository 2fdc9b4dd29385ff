import type { AttemptEnding } from "../../core/retry/attemptEnding.js";

/** How an attempt ended and what the target reported about itself. */
export interface AttemptResult {
    readonly ending: AttemptEnding;
    /** Value of `x-target-state`. */
    readonly targetState: "cold" | "warm" | undefined;
    /** HTTP status; `undefined` if there was no response or it belonged to another request. */
    readonly status: number | undefined;
}
