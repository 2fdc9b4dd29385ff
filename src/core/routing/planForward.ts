/** Attempts at all for one request, those that no target ran included. */
const MAX_ATTEMPTS = 5;

interface ForwardEnding {
    /** `not-written`: no byte was sent; `refused`: the target did not run it; `broken`: it may have run. */
    readonly kind: "not-written" | "refused" | "broken";
    readonly reason: string;
}

interface ForwardFacts {
    readonly isRepeatable: boolean;
    /** True once the caller has the head of the answer. */
    readonly isAnswerStarted: boolean;
    /** Last event that the caller has, if any. */
    readonly lastEventId: string | undefined;
    /** Attempts that a target may have run, and all attempts. */
    readonly runs: number;
    readonly attempts: number;
    /** Targets that may run the request. */
    readonly maxRuns: number;
    /** Monotonic times in milliseconds. */
    readonly now: number;
    readonly deadline: number;
}

/** Decides whether a request whose attempt has failed is sent again. */
export function planForward(
    ending: ForwardEnding,
    facts: ForwardFacts,
): { readonly kind: "retry"; } | { readonly kind: "fail"; } {
    const isExpired = facts.now >= facts.deadline;
    // A request that may have run is sent again only if it may run twice.
    const isSafe = facts.runs === 0 || (facts.isRepeatable && facts.runs < facts.maxRuns);
    const isBroken = ending.kind === "broken" && !facts.isRepeatable;
    return isExpired || !isSafe || isBroken || facts.attempts >= MAX_ATTEMPTS
        ? { kind: "fail" }
        : { kind: "retry" };
}
