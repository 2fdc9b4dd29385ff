/** Limit of all attempts of a request, including those that no target executed. */
const MAX_ATTEMPTS = 5;

interface ForwardFacts {
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
export function planForward(facts: ForwardFacts): "retry" | "fail" {
    const isSafe = facts.runs === 0 || (facts.isRepeatable && facts.runs < facts.maxRuns);
    return isSafe && facts.now < facts.deadline && facts.attempts < MAX_ATTEMPTS ? "retry" : "fail";
}
