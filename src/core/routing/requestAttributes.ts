import type { PromptPart } from "./promptPart.js";

/** Attributes of a request as its caller states them. */
export interface RequestAttributes {
    readonly requestId: string | undefined;
    /** Host without port, in lower case. */
    readonly host: string;
    /** Time in milliseconds that the caller waits for the response. */
    readonly patienceMs: number | undefined;
    /** Key that identifies the client account. */
    readonly key: string | undefined;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly prompt: readonly PromptPart[];
}
