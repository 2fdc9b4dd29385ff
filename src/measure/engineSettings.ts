import { answerLength } from "./answerLength.js";

/** Settings of the engines in benchmarks; their load reports are delayed like those of real engines. */
export const engineSettings = {
    ...answerLength,
    tokenIntervalMs: 20,
    promptMs: 20,
    loadLagMs: 200,
} as const;
