/** Limit of all attempts of a request, including those that no target executed. */
const MAX_ATTEMPTS = 5;

interface RetryContext {
    /** True if the request may be executed more than once. */
    readonly isRepeatable: boolean;
    /** Attempts that a target may have executed, and all attempts. */
    readonly runs: number;
    readonly attempts: number;
    /** Limit of `runs` for a repeatable request. */
    readonly maxRuns: number;
    /** Monotonic times in milliseconds. */
    readonly now: number;
    readonly deadline: number;
}

/** Decides whether to retry after a failed attempt: never if a request that must not be repeated may run twice. */
export function planNextAttempt(context: RetryContext): "retry" | "fail" {
    const isSafe = context.runs === 0 || (context.isRepeatable && context.runs < context.maxRuns);
    return isSafe && context.now < context.deadline && context.attempts < MAX_ATTEMPTS ? "retry" : "fail";
}
