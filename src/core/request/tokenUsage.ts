/** Token counts that an engine reports for a whole answer. */
export interface TokenUsage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}
