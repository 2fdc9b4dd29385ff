import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { TokenUsage } from "../../core/request/tokenUsage.js";
import type { AttemptEnding } from "../../core/retry/attemptEnding.js";

interface AttemptCostInputs {
    readonly ending: AttemptEnding;
    /** Tokens received in this attempt. */
    readonly tokens: number;
    /** Cost of the earlier attempts in tokens. */
    readonly earlierCost: number;
    readonly usage: TokenUsage | undefined;
}

/** Bytes of text per token, a rough estimate for prompts whose token count no engine reports. */
const BYTES_PER_TOKEN = 4;

/**
 * Returns the cost of one attempt in tokens. The costs of all attempts of a completed engine request add up to its
 * reported `usage`. A cancelled attempt is charged an estimate of its prompt, so that disconnecting early is not free.
 */
export function computeAttemptCost(request: CallerRequest, attempt: AttemptCostInputs): number {
    if (attempt.ending.kind === "not-written" || attempt.ending.kind === "refused") {
        return 0;
    }
    if (request.service.kind === "plain") {
        return request.service.requestCost;
    }
    if (attempt.usage && attempt.ending.kind === "completed") {
        const totalTokens = attempt.usage.promptTokens + attempt.usage.completionTokens;
        return Math.max(attempt.tokens, totalTokens - attempt.earlierCost);
    }
    const isCancelled = attempt.ending.kind === "broken" && attempt.ending.reason === "caller-disconnected";
    const promptTokens = isCancelled ? Math.ceil((request.body?.length ?? 0) / BYTES_PER_TOKEN) : 0;
    return attempt.tokens + promptTokens;
}
