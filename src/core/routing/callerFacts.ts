import type { PromptPart } from "./promptPart.js";

/** What a caller says of its request. */
export interface CallerFacts {
    readonly requestId: string | undefined;
    /** Host without port, in lower case. */
    readonly host: string;
    /** Time in milliseconds that the caller waits for the answer. */
    readonly patienceMs: number | undefined;
    readonly key: string | undefined;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly prompt: readonly PromptPart[];
}
