/**
 * Length of model responses in benchmarks. At 20 ms per token, 12 engines with 8 slots serve at most 4,800 tokens/s,
 * which leaves headroom on 10 cores for one load generator, 7 daemons and 15 targets.
 */
export const answerLength = { minTokens: 8, maxTokens: 40 } as const;
