/** Attempts at all for one request, those that no target ran included. */
const MAX_ATTEMPTS = 5;

interface ForwardFacts {
    /** True if the request may run more than once. */
    readonly isRepeatable: boolean;
    /** Attempts that a target may have run, and all attempts. */
    readonly runs: number;
    readonly attempts: number;
    /** Targets that may run the request. */
    readonly maxRuns: number;
    /** Monotonic times in milliseconds. */
    readonly now: number;
    readonly deadline: number;
}

/** Decides whether a request whose attempt has failed is sent again: never if that could run it twice unduly. */
export function planForward(facts: ForwardFacts): "retry" | "fail" {
    const isSafe = facts.runs === 0 || (facts.isRepeatable && facts.runs < facts.maxRuns);
    return isSafe && facts.now < facts.deadline && facts.attempts < MAX_ATTEMPTS ? "retry" : "fail";
}
