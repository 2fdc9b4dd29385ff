import type { PromptPart } from "./promptPart.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { TargetState } from "./targetState.js";

/** Time in milliseconds that an idle engine takes for the first event besides the reading of the prompt. */
const ENGINE_BASE_MS = 20;
/** Each running request makes a step of an engine slower by about this many milliseconds. */
const RUNNING_REQUEST_MS = 0.3;
/** Typical time in milliseconds that a plain service works on a request. */
const PLAIN_WORK_MS = 20;

interface TargetEstimate {
    /** Time in milliseconds that the prompts ahead take. */
    readonly queueMs: number;
    readonly missingTokens: number;
    /** Shared prompt tokens that the target lacks although another one keeps them. */
    readonly movedTokens: number;
    /** Time in milliseconds to the first event, without the way to the target and its slowness. */
    readonly expectedMs: number;
}

/** Estimates when a target begins to answer a request. */
export function estimateTarget(
    target: TargetState,
    request: RoutedRequest,
    options: {
        readonly isEngine: boolean;
        /** True if the target probably keeps the shared parts of the prompt, whoever has sent them. */
        readonly keepsShared: boolean;
        /** True if it can fetch them from another target. */
        readonly canFetch: boolean;
        readonly now: number;
    },
    settings: SchedulerSettings,
): TargetEstimate {
    const inFlight = target.countInFlight(options.now);
    if (!options.isEngine) {
        const queueMs = PLAIN_WORK_MS * inFlight / Math.max(1, target.entry.slots);
        return { queueMs, missingTokens: 0, movedTokens: 0, expectedMs: PLAIN_WORK_MS + queueMs };
    }
    const queueMs = target.countPendingTokens(options.now) / settings.prefillTokensPerMs;
    const known = target.cache.countParts(request.prompt);
    const kept = options.keepsShared ? Math.max(known, request.prompt.length - 1) : known;
    const missingTokens = Math.max(1, request.promptTokens - sumTokens(request.prompt.slice(0, kept)));
    const movedTokens = options.canFetch ? sumTokens(request.prompt.slice(kept, -1)) : 0;
    return {
        queueMs,
        missingTokens,
        movedTokens,
        expectedMs: ENGINE_BASE_MS + queueMs + missingTokens / settings.prefillTokensPerMs
            + inFlight * RUNNING_REQUEST_MS,
    };
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}
