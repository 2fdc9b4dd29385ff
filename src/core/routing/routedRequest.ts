import type { PromptPart } from "./promptPart.js";
import type { RouteRule } from "./routeRule.js";

/** What the scheduler knows about one request. */
export interface RoutedRequest {
    readonly requestId: string;
    readonly route: RouteRule;
    readonly service: string;
    /** Name of the client account, empty on public routes. */
    readonly account: string;
    /** Regions in which the request may be served; empty if all may. */
    readonly regions: readonly string[];
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly prompt: readonly PromptPart[];
    /** Monotonic times in milliseconds. */
    readonly receivedAt: number;
    /** Time by which the answer, or its first event, is on time. */
    readonly objectiveDeadline: number;
    /** Time by which the caller has its final answer. */
    readonly deadline: number;
}
