import type { Claim } from "../core/claim/claim.js";
import type { ClaimAttempt } from "../core/claim/claimAttempt.js";
import type { Outcome } from "../core/errors/outcome.js";

/** One claim holder of the model. */
interface ModelHolder {
    /** Attempts whose group contains the holder. */
    readonly groups: readonly string[];
    /** True if the holder stepped into the group after the key was made. */
    readonly isLate: boolean;
    /** True if the holder lost its memory after the key was made. */
    readonly isRestarted: boolean;
    /** Attempts whose claim call the holder has handled. */
    readonly handled: readonly string[];
    readonly claim: Claim | undefined;
}

/** One attempt to run the request, at an entry of its own. */
interface ModelAttempt {
    /** The coordinator; replies are numbered in order of arrival, as the holders are interchangeable. */
    readonly coordinator: ClaimAttempt;
    readonly phase: "claiming" | "granted" | "ended";
    readonly settlement: "run" | "released" | undefined;
    readonly outcome: Outcome | undefined;
}

/** State of the model of one non-repeatable request that the caller sends to two entries. */
export interface ClaimModelState {
    /** False until the views of the two entries are chosen. */
    readonly isStarted: boolean;
    /**
     * Holders that an attempt has still to ask; what the others remember can no longer change a decision.
     * Sorted, so that states that differ only by the names of equal holders are the same.
     */
    readonly holders: readonly ModelHolder[];
    readonly attempts: Readonly<Record<string, ModelAttempt>>;
    /** Times that a target ran the request. */
    readonly runs: number;
    readonly crashes: number;
    /** True once an attempt that had run, or whose key had run, was reported as `not-run`. */
    readonly hasFalseRefusal: boolean;
}
