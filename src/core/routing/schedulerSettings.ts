import type { Place } from "./place.js";

/** Settings of the scheduler; times in milliseconds. */
export interface SchedulerSettings {
    readonly place: Place;
    /** Region of each data centre. */
    readonly regions: ReadonlyMap<string, string>;
    /** Prompt tokens that an engine reads in a millisecond. */
    readonly prefillTokensPerMs: number;
    /** Engines with a longer queue of prompts get no further request; requests wait here instead. */
    readonly engineQueueMs: number;
    /** The same for requests of client accounts that have had their share. */
    readonly overShareQueueMs: number;
    /** Requests a second over all instances that a cold target may get beyond its stated rate, as factor and constant. */
    readonly coldFactor: number;
    readonly coldSlack: number;
    /** One-way delay to another data centre of the region and to another region. */
    readonly dataCentreDelayMs: number;
    readonly regionDelayMs: number;
}
