import type { Locality } from "./locality.js";

/** Settings of the scheduler; times in milliseconds. */
export interface SchedulerSettings {
    readonly locality: Locality;
    /** Region of each data centre. */
    readonly regionsByDataCentre: ReadonlyMap<string, string>;
    /** Prompt tokens that an engine is assumed to read per millisecond until its responses show it. */
    readonly priorTokensPerMs: number;
    /**
     * Engines whose queue of prompts takes longer than this share of the shortest objective get no further requests,
     * which then wait at this instance.
     */
    readonly queueObjectiveShare: number;
    /** The same for requests of client accounts that are over their share. */
    readonly overShareObjectiveShare: number;
    /** A cold target may get its stated rate times `coldFactor` plus `coldSlack`, in requests per second, in all. */
    readonly coldFactor: number;
    readonly coldSlack: number;
    /** One-way delay to another data centre of the region and to another region. */
    readonly dataCentreDelayMs: number;
    readonly regionDelayMs: number;
}
