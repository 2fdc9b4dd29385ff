/** Token counts that an engine reports for a complete response. */
export interface TokenUsage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}
