import type { Locality } from "./locality.js";

/** Settings of the scheduler; times in milliseconds. */
export interface SchedulerSettings {
    readonly locality: Locality;
    /** Region of each data centre. */
    readonly regionsByDataCentre: ReadonlyMap<string, string>;
    /** Prompt tokens that an engine reads per millisecond. */
    readonly prefillTokensPerMs: number;
    /** Engines with a longer queue of prompts get no further requests, which then wait at this instance. */
    readonly engineQueueMs: number;
    /** Limit of that queue for requests of client accounts that are over their share. */
    readonly overShareQueueMs: number;
    /** A cold target may get its stated rate times `coldFactor` plus `coldSlack`, in requests per second, in all. */
    readonly coldFactor: number;
    readonly coldSlack: number;
    /** One-way delay to another data centre of the region and to another region. */
    readonly dataCentreDelayMs: number;
    readonly regionDelayMs: number;
}
