/** Settings of the scheduler that do not depend on the deployment. */
export const schedulerTuning = {
    /** Prefill rate of an engine: 66.2 tokens/ms by its data sheet, less the decoding steps of running requests. */
    prefillTokensPerMs: 55,
    /** Leaves half of the shortest latency objective of a stream (400 ms) for the prefill of the own prompt. */
    engineQueueMs: 200,
    /** A quarter of `engineQueueMs`, so that accounts above their fair share use only capacity that would stay idle. */
    overShareQueueMs: 50,
    /** One-way network delays by the data sheets of the deployments. */
    dataCentreDelayMs: 1.4,
    regionDelayMs: 20,
} as const;
