import type { PromptPart } from "./promptPart.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { TargetState } from "./targetState.js";

/** Time to first event of an idle engine in milliseconds, without prompt processing. */
const ENGINE_BASE_MS = 20;
/** Time in milliseconds by which each running request slows a step of the engine. */
const RUNNING_REQUEST_MS = 0.3;
/** Reading a prompt holds up all requests of an engine, fetching it only one, so fetching may take longer. */
const FETCH_ADVANTAGE = 3;

interface TargetEstimate {
    /** Time in milliseconds that the requests ahead take; for an engine, the processing of their prompts. */
    readonly queueMs: number;
    /** Prompt tokens that the requests ahead and this one have to read. */
    readonly tokensAhead: number;
    /** Prompt tokens that the target has to read. */
    readonly missingTokens: number;
    /** Shared prompt tokens that the target lacks; they are fetched or read again. */
    readonly uncachedTokens: number;
    /** True if the target should fetch the shared tokens that it lacks. */
    readonly isFetching: boolean;
    /** Part of `expectedMs` that is not spent reading prompts. */
    readonly overheadMs: number;
    /** Time to first event in milliseconds, without the network delay and the speed of the target. */
    readonly expectedMs: number;
}

interface EstimateOptions {
    /** Usual processing time of a request at a plain service in milliseconds. */
    readonly plainWorkMs: number;
    /** Prompt tokens that the engines of the service read per millisecond; `undefined` for a plain service. */
    readonly prefillTokensPerMs: number | undefined;
    /**
     * Whether the target has the shared parts of the prompt cached, by the reports of all instances; `unknown` if only the
     * requests of this instance tell.
     */
    readonly sharedParts: "cached" | "uncached" | "unknown";
    /** Returns the time in milliseconds to fetch tokens from another target; `undefined` if there is no source. */
    readonly estimateFetchMs: ((tokens: number) => number) | undefined;
    readonly now: number;
}

/** Estimates the time to first event of a request at a target. */
export function estimateTarget(
    target: TargetState,
    request: RoutedRequest,
    { plainWorkMs, prefillTokensPerMs, sharedParts, estimateFetchMs, now }: EstimateOptions,
): TargetEstimate {
    const inFlight = target.countInFlight(now);
    if (prefillTokensPerMs === undefined) {
        const queueMs = plainWorkMs * inFlight / Math.max(1, target.descriptor.slots);
        return {
            queueMs,
            tokensAhead: 0,
            missingTokens: 0,
            uncachedTokens: 0,
            isFetching: false,
            overheadMs: plainWorkMs,
            expectedMs: plainWorkMs + queueMs,
        };
    }
    const pendingTokens = target.countPendingTokens(now);
    const cachedParts = countCachedParts(target, request.prompt, sharedParts);
    const cachedTokens = sumTokens(request.prompt.slice(0, cachedParts));
    const uncachedTokens = sumTokens(request.prompt.slice(cachedParts, -1));
    const possibleFetchMs = uncachedTokens > 0 ? estimateFetchMs?.(uncachedTokens) : undefined;
    const isFetching = possibleFetchMs !== undefined
        && possibleFetchMs < FETCH_ADVANTAGE * uncachedTokens / prefillTokensPerMs;
    const overheadMs = ENGINE_BASE_MS + (isFetching ? possibleFetchMs : 0) + inFlight * RUNNING_REQUEST_MS;
    const missingTokens = Math.max(
        1,
        request.promptTokens - cachedTokens - (isFetching ? uncachedTokens : 0),
    );
    const queueMs = pendingTokens / prefillTokensPerMs;
    return {
        queueMs,
        tokensAhead: pendingTokens + missingTokens,
        missingTokens,
        uncachedTokens,
        isFetching,
        overheadMs,
        expectedMs: overheadMs + queueMs + missingTokens / prefillTokensPerMs,
    };
}

function countCachedParts(
    target: TargetState,
    prompt: readonly PromptPart[],
    sharedParts: EstimateOptions["sharedParts"],
): number {
    const known = target.cache.countParts(prompt);
    if (sharedParts === "cached") {
        return Math.max(known, prompt.length - 1);
    }
    // What this instance has sent there long ago may have been evicted since.
    return sharedParts === "uncached" ? Math.max(0, Math.min(known, prompt.length - 2)) : known;
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}
