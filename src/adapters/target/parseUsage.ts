import type { TokenUsage } from "../../core/request/tokenUsage.js";

/** Reads the `usage` of a parsed event or response; `undefined` if it is missing or malformed. */
export function parseUsage(value: unknown): TokenUsage | undefined {
    if (typeof value !== "object" || value === null || !("usage" in value)) {
        return undefined;
    }
    const usage = value.usage as Readonly<Record<string, unknown>> | null;
    const promptTokens = usage?.["prompt_tokens"];
    const completionTokens = usage?.["completion_tokens"];
    return isTokenCount(promptTokens) && isTokenCount(completionTokens)
        ? { promptTokens, completionTokens }
        : undefined;
}

function isTokenCount(value: unknown): value is number {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
