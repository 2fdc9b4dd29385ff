import type { Outcome } from "../errors/outcome.js";
import type { AttemptEnding } from "./attemptEnding.js";
import type { RetryDecision } from "./retryDecision.js";
import type { RetryFacts } from "./retryFacts.js";

/** Bounds the load of one request whose attempts all fail. */
const MAX_ATTEMPTS = 6;

/** Decides whether a request finishes, is retried, is resumed or fails, and with which outcome. */
export function planRetry(ending: AttemptEnding, facts: RetryFacts): RetryDecision {
    if (ending.kind === "completed") {
        return { kind: "finish" };
    }
    const outcome: Outcome = ending.kind === "broken" || facts.wasWritten ? "unknown" : "not-run";
    if (facts.now >= facts.deadline) {
        return { kind: "fail", code: "deadline-expired", outcome };
    }
    if (ending.reason === "caller-disconnected") {
        return { kind: "fail", code: "caller-disconnected", outcome };
    }
    if (ending.kind !== "broken") {
        // An attempt past its start deadline cost the targets nothing, so it uses none of the retry budget.
        const isStale = ending.reason === "start-deadline-passed";
        return facts.attempts >= MAX_ATTEMPTS && !isStale
            ? { kind: "fail", code: "target-unavailable", outcome }
            : { kind: isResume(facts) ? "resume" : "retry", reason: ending.reason, isBudgeted: !isStale };
    }
    const isFinal = !facts.isRepeatable || facts.attempts >= MAX_ATTEMPTS;
    if (isFinal || (facts.isAnswerStarted && !facts.isResumable)) {
        const code = ending.reason === "truncated" || ending.reason === "stalled"
            ? "answer-truncated"
            : "target-failed";
        return { kind: "fail", code, outcome };
    }
    return { kind: isResume(facts) ? "resume" : "retry", reason: ending.reason, isBudgeted: true };
}

function isResume(facts: RetryFacts): boolean {
    return facts.isAnswerStarted && facts.isResumable;
}
