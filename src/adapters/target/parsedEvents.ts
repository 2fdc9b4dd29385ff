/** What one chunk of a token stream completed. */
export interface ParsedEvents {
    /** Complete new events as received, in order. */
    readonly parts: readonly Uint8Array[];
    /** Number of new tokens in `parts`. */
    readonly tokens: number;
    /** True if the rest of the stream is unusable: a gap, an error event, or a malformed or oversized event. */
    readonly isFaulty: boolean;
}
