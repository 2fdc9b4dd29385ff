import type { Decision } from "./decision.js";

/** Decisions that one daemon recorded about a request or a client account. */
export interface Explanation {
    readonly instance: string;
    /** Oldest first. */
    readonly decisions: readonly Decision[];
}
