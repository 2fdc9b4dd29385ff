/** Settings of the engine stand-in. */
export interface EngineSettings {
    readonly name: string;
    /** Requests that the warm engine bears at once. */
    readonly slotLimit: number;
    /** Time between two tokens of one request in milliseconds. */
    readonly tokenIntervalMs: number;
    /** Bounds of the answer length in tokens. */
    readonly minTokens: number;
    readonly maxTokens: number;
}
