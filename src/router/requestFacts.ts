import type { CallerFacts } from "../core/routing/callerFacts.js";

/** What the headers of a caller's request say. */
export interface RequestFacts extends CallerFacts {
    /** Headers that are passed on, as a flat list of names and values. */
    readonly passedHeaders: readonly string[];
}
