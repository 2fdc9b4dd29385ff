interface CallerHeaderValues {
    readonly requestId: string;
    /** Caller timeout in milliseconds. */
    readonly patienceMs: number;
    /** Present for requests to engines. */
    readonly engine?: {
        readonly key: string;
        readonly sharedPart: string;
        /** Last part of the prompt, the same for all attempts of a caller. @default the request's identifier */
        readonly ownPart?: string;
    };
    /** Present for requests that take a stream up: its last event, and the attempt that brought its first one. */
    readonly resumed?: { readonly lastEventId: number; readonly streamId: string; } | undefined;
}

/** Builds the headers of a caller's request as the cooperative's platform spells them. */
export function buildCallerHeaders(
    { requestId, patienceMs, engine, resumed }: CallerHeaderValues,
): Record<string, string> {
    return {
        "Host": "h",
        "Request-Id": requestId,
        "Deadline-Ms": String(patienceMs),
        ...(engine
            ? {
                "Token-Usage": "100,20",
                "Prompt-Prefix": `${engine.sharedPart}:50,${engine.ownPart ?? requestId}:50`,
                "Authorization": `Bearer ${engine.key}`,
            }
            : {}),
        ...(resumed ? { "Last-Event-Id": String(resumed.lastEventId), "Resumes": resumed.streamId } : {}),
    };
}
