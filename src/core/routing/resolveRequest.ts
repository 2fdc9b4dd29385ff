import { findRoute } from "./findRoute.js";
import { findStopRefusal } from "./findStopRefusal.js";
import { pickService } from "./pickService.js";
import type { RequestAttributes } from "./requestAttributes.js";
import { resolveAccount } from "./resolveAccount.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RouterConfiguration } from "./routerConfiguration.js";
import type { StopPlan } from "./stopPlan.js";

interface ResolveContext {
    /** `undefined` until a configuration and the targets are known. */
    readonly configuration: RouterConfiguration | undefined;
    /** False if a key may have been revoked since the configuration was last confirmed. */
    readonly isFresh: boolean;
    /** True if the process has more work than its processor share allows. */
    readonly isOverloaded: boolean;
    /** `undefined` unless the process is shutting down. */
    readonly stopPlan: StopPlan | undefined;
    /** Estimates in milliseconds what a request rarely takes longer than. */
    readonly estimateMs: (request: RoutedRequest) => number;
    /** Monotonic time in milliseconds. */
    readonly receivedAt: number;
    /** Uniformly distributed in [0, 1). */
    readonly random: number;
}

/** A request with its route and client account, or its refusal. */
type ResolvedRequest =
    | { readonly kind: "accepted"; readonly request: RoutedRequest; }
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly reason: string;
        readonly retryAfterMs: number | undefined;
        /** Client account, if its usage is the reason. */
        readonly account?: string;
    };

const SERVICE_UNAVAILABLE = 503;
const NOT_FOUND = 404;
const UNAUTHORIZED = 401;
const NOT_CONFIGURED_RETRY_MS = 500;
const STALE_RETRY_MS = 1000;
const OVERLOAD_RETRY_MS = 400;

/** Finds the route and the client account of a request, or the reason why this instance cannot serve it now. */
export function resolveRequest(
    attributes: RequestAttributes,
    path: string,
    context: ResolveContext,
): ResolvedRequest {
    const { configuration, receivedAt } = context;
    if (!configuration) {
        return refuse(SERVICE_UNAVAILABLE, "not-configured", NOT_CONFIGURED_RETRY_MS);
    }
    const route = findRoute(configuration, attributes.host, path);
    if (!route) {
        return refuse(NOT_FOUND, "no-route");
    }
    const account = resolveAccount(configuration, route, attributes.key);
    if (account !== undefined && !context.isFresh) {
        return refuse(SERVICE_UNAVAILABLE, "configuration-stale", STALE_RETRY_MS);
    }
    if (account === "unknown") {
        return refuse(UNAUTHORIZED, "unknown-key");
    }
    if (context.isOverloaded && route.kind === "stream") {
        return refuse(SERVICE_UNAVAILABLE, "instance-overloaded", OVERLOAD_RETRY_MS);
    }
    const timeoutMs = Math.min(attributes.patienceMs ?? route.timeoutMs, route.timeoutMs);
    const request: RoutedRequest = {
        requestId: attributes.requestId ?? "",
        ...(route.kind === "stream" ? describeStream(attributes) : {}),
        route,
        service: pickService(route, context.random),
        account: account?.name ?? "",
        regions: selectRegions(route.regions, account?.regions ?? []),
        promptTokens: attributes.promptTokens,
        outputTokens: attributes.outputTokens,
        prompt: attributes.prompt,
        receivedAt,
        objectiveDeadline: receivedAt + Math.min(timeoutMs, route.objectiveMs),
        deadline: receivedAt + timeoutMs,
    };
    const stopRefusal = findStopRefusal(request, context.estimateMs(request), context.stopPlan, receivedAt);
    return stopRefusal ? { kind: "refused", ...stopRefusal } : { kind: "accepted", request };
}

function refuse(status: number, reason: string, retryAfterMs?: number): ResolvedRequest {
    return { kind: "refused", status, reason, retryAfterMs };
}

function describeStream(
    { requestId = "", lastEventId, streamId }: RequestAttributes,
): Pick<RoutedRequest, "streamId" | "resumesAfter"> {
    return lastEventId === undefined
        ? { streamId: requestId }
        : { streamId: streamId ?? requestId, resumesAfter: lastEventId };
}

/** Intersects the regions that the route and the account allow; an empty list allows all regions. */
function selectRegions(a: readonly string[], b: readonly string[]): readonly string[] {
    if (a.length === 0 || b.length === 0) {
        return [...a, ...b];
    }
    const common = a.filter(region => b.includes(region));
    // No region has an empty name, so a request that is allowed in no region finds no target.
    return common.length > 0 ? common : [""];
}
