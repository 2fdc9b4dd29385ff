import type { planNextAttempt } from "../core/routing/planNextAttempt.js";
import type { SlidingRetryBudget } from "../core/routing/slidingRetryBudget.js";

/** Takes the retry that a plan allows from the budget. Returns what it lacks, or `undefined` if it is taken. */
export function takeRetry(
    plan: ReturnType<typeof planNextAttempt>,
    budget: SlidingRetryBudget,
    now: number,
): string | undefined {
    if (plan !== "retry") {
        return plan;
    }
    return budget.tryTake(now) ? undefined : "no-retry-budget";
}
