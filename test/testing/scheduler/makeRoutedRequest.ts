import type { RoutedRequest } from "../../../src/core/routing/routedRequest.js";
import type { RouteRule } from "../../../src/core/routing/routeRule.js";

const ROUTE: RouteRule = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "stream",
    timeoutMs: 10_000,
    objectiveMs: 400,
    backends: [{ service: "s", weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
    regions: [],
};
/** Makes a stream of 1000 prompt tokens with an objective of 400 ms. */
export function makeRoutedRequest(fields: Partial<RoutedRequest> = {}): RoutedRequest {
    return {
        requestId: "1",
        route: ROUTE,
        service: "s",
        account: "a",
        regions: [],
        promptTokens: 1000,
        outputTokens: 10,
        prompt: [{ id: "shared", tokens: 800 }, { id: "own", tokens: 200 }],
        receivedAt: 0,
        objectiveDeadline: 400,
        deadline: 10_000,
        ...fields,
    };
}
