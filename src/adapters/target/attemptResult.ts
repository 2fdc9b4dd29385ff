import type { AttemptEnding } from "../../core/retry/attemptEnding.js";

/** How a try ended and what the target reported about itself. */
export interface AttemptResult {
    readonly ending: AttemptEnding;
    /** Value of `x-target-state`. */
    readonly targetState: "cold" | "warm" | undefined;
    /** HTTP status of an answer that belongs to the request. */
    readonly status: number | undefined;
}
