/**
 * Answers in experiments. With 20 ms between tokens, 12 engines with 8 slots serve at most 4,800 tokens/s, which one
 * load generator, 7 daemons and 15 targets carry on 10 cores with room.
 */
export const answerLength = { minTokens: 8, maxTokens: 40 } as const;
