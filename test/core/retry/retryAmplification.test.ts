import test from "ava";
import { planRetry } from "../../../src/core/retry/planRetry.js";
import { RetryBudget } from "../../../src/core/retry/retryBudget.js";

test("limits retries when half of the targets fail, so that no retry storm hits the others", t => {
    const requests = 10_000;
    const seconds = 10;
    let budget = RetryBudget.create(0);
    let attempts = 0;
    for (let request = 0; request < requests; request += 1) {
        const now = request * seconds * 1000 / requests;
        budget = budget.addRequest(now);
        // Every second attempt meets a failed target, and every third request only failed ones.
        for (let requestAttempts = 1, isDone = false; !isDone; requestAttempts += 1) {
            attempts += 1;
            const hasFailed = request % 3 === 0 || (request + requestAttempts) % 2 === 0;
            const decision = planRetry(
                hasFailed ? { kind: "broken", reason: "reset" } : { kind: "completed" },
                {
                    isRepeatable: true,
                    attempts: requestAttempts,
                    wasWritten: requestAttempts > 1,
                    isResponseStarted: false,
                    isResumable: false,
                    now,
                    deadline: Number.POSITIVE_INFINITY,
                },
            );
            const remaining = decision.kind === "retry" ? budget.tryTake(now) : undefined;
            isDone = remaining === undefined;
            budget = remaining ?? budget;
        }
    }
    // 10% of the requests, 10 a second, and at most 100 saved ones.
    t.true(attempts - requests <= requests / 10 + 10 * seconds + 100, `${attempts} attempts`);
    t.true(attempts > requests);
});
