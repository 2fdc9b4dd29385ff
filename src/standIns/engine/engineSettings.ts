import type { TargetSettings } from "../target/targetSettings.js";

/** Settings of the engine stand-in. */
export interface EngineSettings extends TargetSettings {
    /** Time between two tokens of one request in milliseconds. */
    readonly tokenIntervalMs: number;
    /** Time in milliseconds before the first token of a request. */
    readonly promptMs: number;
    /** Bounds of the response length in tokens. */
    readonly minTokens: number;
    readonly maxTokens: number;
}
