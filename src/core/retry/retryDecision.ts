import type { Outcome } from "../errors/outcome.js";
import type { RefusalReason } from "../errors/refusalReason.js";

/** What follows from the ending of one try. */
export type RetryDecision =
    | { readonly kind: "finish"; }
    /** `resume` continues a stream at its next token; `retry` starts again. */
    | { readonly kind: "retry" | "resume"; readonly reason: string; readonly isBudgeted: boolean; }
    | { readonly kind: "fail"; readonly code: RefusalReason; readonly outcome: Outcome; };
