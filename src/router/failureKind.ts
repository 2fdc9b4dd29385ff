/**
 * How an attempt has failed. `not-written`: no byte was sent; `refused`: not executed by the target; `doubtful`: a refusal
 * that may not be meant for the request, so that it is possibly executed; `broken`: possibly executed.
 */
export type FailureKind = "not-written" | "refused" | "doubtful" | "broken";
