import type { Outcome } from "../errors/outcome.js";
import type { AttemptEnding } from "./attemptEnding.js";
import type { RetryContext } from "./retryContext.js";
import type { RetryDecision } from "./retryDecision.js";

/** Bounds the load of one request whose attempts all fail. */
const MAX_ATTEMPTS = 6;

/** Decides whether a request finishes, is retried, is resumed or fails, and with which outcome. */
export function planRetry(ending: AttemptEnding, context: RetryContext): RetryDecision {
    if (ending.kind === "completed") {
        return { kind: "finish" };
    }
    const outcome: Outcome = ending.kind === "broken" || context.wasWritten ? "unknown" : "not-run";
    if (context.now >= context.deadline) {
        return { kind: "fail", code: "deadline-expired", outcome };
    }
    if (ending.reason === "caller-disconnected") {
        return { kind: "fail", code: "caller-disconnected", outcome };
    }
    if (ending.kind !== "broken") {
        // An attempt past its start deadline cost the targets nothing, so it uses none of the retry budget.
        const isPastStartDeadline = ending.reason === "start-deadline-passed";
        return context.attempts >= MAX_ATTEMPTS && !isPastStartDeadline
            ? { kind: "fail", code: "target-unavailable", outcome }
            : {
                kind: isResume(context) ? "resume" : "retry",
                reason: ending.reason,
                isBudgeted: !isPastStartDeadline,
            };
    }
    const isFinal = !context.isRepeatable || context.attempts >= MAX_ATTEMPTS;
    if (isFinal || (context.isResponseStarted && !context.isResumable)) {
        const code = ending.reason === "truncated" || ending.reason === "stalled"
            ? "answer-truncated"
            : "target-failed";
        return { kind: "fail", code, outcome };
    }
    return { kind: isResume(context) ? "resume" : "retry", reason: ending.reason, isBudgeted: true };
}

function isResume(context: RetryContext): boolean {
    return context.isResponseStarted && context.isResumable;
}
