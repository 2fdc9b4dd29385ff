import type { RoutedRequest } from "./routedRequest.js";

/** A generated token costs an engine about as much as this many prompt tokens. */
const OUTPUT_TOKEN_COST = 2;

/** Returns the tokens of a request as shares of client accounts count them. */
export function computeRequestTokens(request: RoutedRequest): number {
    return request.promptTokens + OUTPUT_TOKEN_COST * request.outputTokens;
}
