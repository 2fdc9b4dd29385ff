import type { Decision } from "./decision.js";

/** What one daemon knows of a request or a client account. */
export interface Explanation {
    readonly instance: string;
    /** Oldest first. */
    readonly decisions: readonly Decision[];
}
