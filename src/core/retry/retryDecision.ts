import type { Outcome } from "../errors/outcome.js";
import type { RefusalReason } from "../errors/refusalReason.js";

/** What happens to a request after an attempt has ended. */
export type RetryDecision =
    | { readonly kind: "finish"; }
    /** `resume` continues a stream at its next token; `retry` starts again. `isBudgeted`: draws on the budget. */
    | { readonly kind: "retry" | "resume"; readonly reason: string; readonly isBudgeted: boolean; }
    | { readonly kind: "fail"; readonly code: RefusalReason; readonly outcome: Outcome; };
