import type { TargetState } from "./targetState.js";

/** Permission to send a request to a target; released exactly once. */
export interface TargetGrant {
    readonly target: TargetState;
    /** Address of another target from which it can take shared parts of the prompt. */
    readonly promptSource: string | undefined;
    /** Shared prompt part that the target keeps once it has begun its answer. */
    readonly sharedPartId: string | undefined;
    /** Prompt tokens that the target still has to read. */
    readonly missingTokens: number;
    /** Expected time to the first event in milliseconds. */
    readonly expectedMs: number;
    /** Monotonic time in milliseconds. */
    readonly grantedAt: number;
}
