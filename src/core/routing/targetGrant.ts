import type { SpillRecord } from "../spill/spillRecord.js";
import type { TargetState } from "./targetState.js";

/** Permission to send a request to a target; must be released exactly once. */
export interface TargetGrant {
    readonly target: TargetState;
    /** Address of another target from which this one can fetch shared parts of the prompt. */
    readonly promptSource: string | undefined;
    /** Shared prompt part that the target has cached once it begins its response. */
    readonly sharedPartId: string | undefined;
    /** Prompt tokens that the target does not have cached and must read. */
    readonly missingTokens: number;
    /** The same with those of the requests ahead. */
    readonly tokensAhead: number;
    /** Part of `expectedMs` that is not spent reading prompts. */
    readonly overheadMs: number;
    /** Network round trip, part of `overheadMs` and `expectedMs`. */
    readonly networkMs: number;
    /** Expected time to first event in milliseconds, with the network delay. */
    readonly expectedMs: number;
    /** Present if the request leaves its data centre, and spill is on. */
    readonly spill?: SpillRecord;
    /** Ratio by which the target was expected to take longer than that when it was granted. */
    readonly timeRatio: number;
    /** Monotonic time in milliseconds. */
    readonly grantedAt: number;
}
