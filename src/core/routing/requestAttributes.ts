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
    /** Last event that the caller has got of a stream that it takes up; `undefined` for a new stream. */
    readonly lastEventId: string | undefined;
    /** Identifier of the caller's attempt that brought the first event of a stream that it takes up. */
    readonly streamId: string | undefined;
}
