import type { CallerFacts } from "../core/routing/callerFacts.js";

/** Attributes of a caller's request that its headers give. */
export interface RequestFacts extends CallerFacts {
    /** Headers to forward, as a flat list of names and values. */
    readonly passedHeaders: readonly string[];
}
