/** What one chunk of a token stream added. */
export interface ParsedEvents {
    /** Complete new events as received, in order. */
    readonly parts: readonly Uint8Array[];
    /** New tokens among them. */
    readonly tokens: number;
    /** True if the stream cannot be continued: a gap, an error event or a malformed event. */
    readonly isFaulty: boolean;
}
