import type { PromptPart } from "./promptPart.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { TargetState } from "./targetState.js";

/** Time to first event of an idle engine in milliseconds, without prompt processing. */
const ENGINE_BASE_MS = 20;
/** Time in milliseconds by which each running request slows a step of the engine. */
const RUNNING_REQUEST_MS = 0.3;
/** Typical processing time of a request at a plain service in milliseconds. */
const PLAIN_WORK_MS = 20;

interface TargetEstimate {
    /** Time in milliseconds that the requests ahead take; for an engine, the processing of their prompts. */
    readonly queueMs: number;
    /** Prompt tokens that the target does not have cached. */
    readonly missingTokens: number;
    /** Shared prompt tokens that the target lacks and can fetch from another one. */
    readonly fetchedTokens: number;
    /** Time to first event in milliseconds, without the network delay and the slowness of the target. */
    readonly expectedMs: number;
}

/** Estimates the time to first event of a request at a target. */
export function estimateTarget(
    target: TargetState,
    request: RoutedRequest,
    options: {
        readonly isEngine: boolean;
        /** True if the target probably has the shared parts of the prompt cached, whichever instance sent them. */
        readonly hasSharedCached: boolean;
        /** True if the target can fetch the shared parts from another one. */
        readonly canFetch: boolean;
        readonly now: number;
    },
    settings: SchedulerSettings,
): TargetEstimate {
    const inFlight = target.countInFlight(options.now);
    if (!options.isEngine) {
        const queueMs = PLAIN_WORK_MS * inFlight / Math.max(1, target.descriptor.slots);
        return { queueMs, missingTokens: 0, fetchedTokens: 0, expectedMs: PLAIN_WORK_MS + queueMs };
    }
    const queueMs = target.countPendingTokens(options.now) / settings.prefillTokensPerMs;
    const known = target.cache.countParts(request.prompt);
    const cachedParts = options.hasSharedCached ? Math.max(known, request.prompt.length - 1) : known;
    const missingTokens = Math.max(1, request.promptTokens - sumTokens(request.prompt.slice(0, cachedParts)));
    const fetchedTokens = options.canFetch ? sumTokens(request.prompt.slice(cachedParts, -1)) : 0;
    return {
        queueMs,
        missingTokens,
        fetchedTokens,
        expectedMs: ENGINE_BASE_MS + queueMs + missingTokens / settings.prefillTokensPerMs
            + inFlight * RUNNING_REQUEST_MS,
    };
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}
