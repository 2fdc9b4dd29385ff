/** Settings of the scheduler that do not depend on the deployment. */
export const schedulerTuning = {
    /** Prefill rate that is assumed of an engine until its responses show it. */
    priorTokensPerMs: 70,
    /** Leaves the other half of the shortest objective for the prefill of the own prompt. */
    queueObjectiveShare: 0.5,
    /** A quarter of that, so that accounts above their fair share use only capacity that would stay idle. */
    overShareObjectiveShare: 0.125,
    /** One-way network delays by the data sheets of the deployments. */
    dataCentreDelayMs: 1.4,
    regionDelayMs: 20,
} as const;
