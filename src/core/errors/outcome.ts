/**
 * What is known about the execution of a failed request.
 *
 * - `not-run`: nothing was executed, for certain.
 * - `unknown`: the request may have been executed.
 * - `run`: the request was executed.
 */
export type Outcome = "not-run" | "unknown" | "run";
