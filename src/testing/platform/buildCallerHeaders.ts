interface CallerHeaderValues {
    readonly requestId: string;
    /** Caller timeout in milliseconds. */
    readonly patienceMs: number;
    /** Present for requests to engines. */
    readonly engine?: { readonly key: string; readonly sharedPart: string; };
}

/** Builds the headers of a caller's request as the cooperative's platform spells them. */
export function buildCallerHeaders(
    { requestId, patienceMs, engine }: CallerHeaderValues,
): Record<string, string> {
    return {
        "Host": "h",
        "Request-Id": requestId,
        "Deadline-Ms": String(patienceMs),
        ...(engine
            ? {
                "Token-Usage": "100,20",
                "Prompt-Prefix": `${engine.sharedPart}:50,${requestId}:50`,
                "Authorization": `Bearer ${engine.key}`,
            }
            : {}),
    };
}
