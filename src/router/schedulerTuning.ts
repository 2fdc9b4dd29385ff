/** Values of the scheduler that do not depend on the deployment. */
export const schedulerTuning = {
    /** From the engines' data sheet, 66.2 tokens/ms, less the steps of the running requests. */
    prefillTokensPerMs: 55,
    /** Leaves half of the shortest objective of a stream (400 ms) for the reading of the request's own prompt. */
    engineQueueMs: 200,
    /** A quarter of that, so that accounts beyond their share fill only what would stay idle. */
    overShareQueueMs: 50,
    /** One-way delays from the deployments' data sheets. */
    dataCentreDelayMs: 1.4,
    regionDelayMs: 20,
} as const;
