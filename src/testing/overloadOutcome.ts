import type { OfferedRequest } from "./offeredRequest.js";

/** What became of the requests to an instance that got more than it could serve. */
export interface OverloadOutcome {
    /** Requests a second that it answers to callers who wait for each answer. */
    readonly capacity: number;
    /** Requests a second that it answered during the overload. */
    readonly answered: number;
    readonly during: readonly OfferedRequest[];
    /** Those that got neither an answer nor a refusal with a time to return. */
    readonly unanswered: readonly OfferedRequest[];
    /** Times in milliseconds until the refusals. */
    readonly refusalTimes: readonly number[];
    /** Requests of a light load, from a second after the end of the overload on. */
    readonly after: readonly OfferedRequest[];
    /** Those that were not answered. */
    readonly unserved: readonly OfferedRequest[];
}
