import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { TokenUsage } from "../../core/request/tokenUsage.js";
import type { AttemptEnding } from "../../core/retry/attemptEnding.js";

interface AttemptWork {
    readonly ending: AttemptEnding;
    /** Tokens delivered by this try. */
    readonly tokens: number;
    /** Cost of the earlier tries in tokens. */
    readonly earlierCost: number;
    readonly usage: TokenUsage | undefined;
}

/** Bytes of text per token, a rough value for prompts of which no engine reports the count. */
const BYTES_PER_TOKEN = 4;

/**
 * Returns the cost of one try in tokens. All tries of a completed engine request sum up to what its `usage`
 * states. A cancelled try is charged an estimate of its prompt, so that leaving early is not free.
 */
export function computeAttemptCost(request: CallerRequest, work: AttemptWork): number {
    if (work.ending.kind === "not-written" || work.ending.kind === "refused") {
        return 0;
    }
    if (request.service.kind === "plain") {
        return request.service.requestCost;
    }
    if (work.usage && work.ending.kind === "completed") {
        const whole = work.usage.promptTokens + work.usage.completionTokens;
        return Math.max(work.tokens, whole - work.earlierCost);
    }
    const isCancelled = work.ending.kind === "broken" && work.ending.reason === "caller-disconnected";
    const prompt = isCancelled ? Math.ceil((request.body?.length ?? 0) / BYTES_PER_TOKEN) : 0;
    return work.tokens + prompt;
}
