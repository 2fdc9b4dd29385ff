import type { PromptPart } from "../core/routing/promptPart.js";

/** What the headers of a caller's request say. */
export interface RequestFacts {
    readonly requestId: string | undefined;
    /** Host without port, in lower case. */
    readonly host: string;
    /** Time in milliseconds that the caller waits for the answer. */
    readonly patienceMs: number | undefined;
    readonly key: string | undefined;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly prompt: readonly PromptPart[];
    /** Headers that are passed on, as a flat list of names and values. */
    readonly passedHeaders: readonly string[];
}
