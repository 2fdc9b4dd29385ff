import { answerLength } from "./answerLength.js";

/** Settings of the engines in experiments; load reports lag as those of real engines do. */
export const engineSettings = {
    ...answerLength,
    tokenIntervalMs: 20,
    promptMs: 20,
    loadLagMs: 200,
} as const;
