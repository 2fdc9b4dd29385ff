import { AccountUsage } from "../core/routing/accountUsage.js";
import { PromptLocations } from "../core/routing/promptLocations.js";
import { createCrashDetector } from "./createCrashDetector.js";
import { createPromptCrashes } from "./createPromptCrashes.js";
import { createRequestLimiter } from "./createRequestLimiter.js";
import type { LogSink } from "./logSink.js";
import type { RouterSettings } from "./routerSettings.js";
import type { RoutingState } from "./routingState.js";

/** Time window of the fair shares of client accounts (quotaWindowS of the deployments). */
const USAGE_WINDOW_MS = 4000;

/** Creates the empty state of an instance that started at a monotonic time in milliseconds. */
export function createRoutingState(settings: RouterSettings, log: LogSink, startedAt: number): RoutingState {
    const promptCrashes = createPromptCrashes(log);
    return {
        usage: AccountUsage.create(USAGE_WINDOW_MS),
        promptLocations: PromptLocations.create(),
        promptCrashes,
        crashDetector: createCrashDetector(promptCrashes, log),
        limits: createRequestLimiter(settings, log, startedAt),
    };
}
