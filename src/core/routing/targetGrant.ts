import type { TargetState } from "./targetState.js";

/** Permission to send a request to a target; released exactly once. */
export interface TargetGrant {
    readonly target: TargetState;
    /** Prompt tokens that the target still has to read. */
    readonly missingTokens: number;
    /** Expected time to the first event in milliseconds. */
    readonly expectedMs: number;
    /** Monotonic time in milliseconds. */
    readonly grantedAt: number;
}
