import test from "ava";
import fc from "fast-check";
import { computeBackoff } from "../../../src/core/retry/computeBackoff.js";
import { planRetry } from "../../../src/core/retry/planRetry.js";
import { RetryBudget } from "../../../src/core/retry/retryBudget.js";

test("limits the retries of an outage to 10% of the requests plus 10 a second", t => {
    let budget = RetryBudget.create(0);
    let retries = 0;
    for (let ms = 0; ms < 60_000; ms += 1) {
        budget = budget.addRequest(ms);
        const remaining = budget.tryTake(ms);
        retries += remaining ? 1 : 0;
        budget = remaining ?? budget;
    }
    t.true(retries <= 10 + 6000 + 600, String(retries));
    t.true(retries > 6500, String(retries));
});

test("limits the retries saved over a long idle time to 100", t => {
    let budget: RetryBudget | undefined = RetryBudget.create(0);
    let taken = 0;
    while ((budget = budget.tryTake(3_600_000)) !== undefined) {
        taken += 1;
    }
    t.is(taken, 100);
});

test("applies full jitter and a cap to the backoff", t => {
    t.is(computeBackoff(1, 0), 0);
    t.is(computeBackoff(1, 0.5), 12.5);
    t.is(computeBackoff(30, 0.5), 500);
});

test("never repeats a written non-repeatable request nor reports an unknown outcome as not-run", t => {
    const endings = fc.constantFrom(
        { kind: "not-written", reason: "connection-failed" } as const,
        { kind: "not-written", reason: "caller-disconnected" } as const,
        { kind: "refused", reason: "target-not-run" } as const,
        { kind: "broken", reason: "reset" } as const,
        { kind: "broken", reason: "truncated" } as const,
        { kind: "broken", reason: "caller-disconnected" } as const,
    );
    const contexts = fc.record({
        isRepeatable: fc.boolean(),
        attempts: fc.integer({ min: 1, max: 8 }),
        wasWritten: fc.boolean(),
        isResponseStarted: fc.boolean(),
        isResumable: fc.boolean(),
        now: fc.nat(10),
        deadline: fc.constant(5),
    });
    fc.assert(
        fc.property(endings, contexts, (ending, context) => {
            const decision = planRetry(ending, context);
            if (decision.kind === "fail") {
                return decision.outcome
                    === (ending.kind === "broken" || context.wasWritten ? "unknown" : "not-run");
            }
            return context.now < context.deadline && (context.isRepeatable || ending.kind !== "broken");
        }),
        { seed: 11 },
    );
    t.pass("seed 11");
});
