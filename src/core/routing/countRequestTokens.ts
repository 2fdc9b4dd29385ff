import type { RoutedRequest } from "./routedRequest.js";

/** Cost of a generated token in prompt tokens, as an engine spends about this much more on it. */
const OUTPUT_TOKEN_COST = 2;

/** Returns the tokens of a request that count against the share of its client account. */
export function countRequestTokens(request: RoutedRequest): number {
    return request.promptTokens + OUTPUT_TOKEN_COST * request.outputTokens;
}
