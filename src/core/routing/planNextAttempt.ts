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

/**
 * Decides whether to retry after a failed attempt: never if a request that must not be repeated may run twice.
 *
 * @returns `retry`, or what a retry lacks.
 */
export function planNextAttempt(
    context: RetryContext,
): "retry" | "not-repeatable" | "no-attempt" | "no-time" {
    if (context.now >= context.deadline) {
        return "no-time";
    }
    if (context.runs > 0 && !context.isRepeatable) {
        return "not-repeatable";
    }
    const hasAttempt = context.attempts < MAX_ATTEMPTS
        && (context.runs === 0 || context.runs < context.maxRuns);
    return hasAttempt ? "retry" : "no-attempt";
}
