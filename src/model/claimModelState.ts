import type { Claim } from "../core/claim/claim.js";
import type { ClaimAttempt } from "../core/claim/claimAttempt.js";
import type { Outcome } from "../core/errors/outcome.js";

/** One claim holder of the model. */
interface ModelHolder {
    /** Attempts whose group contains the holder. */
    readonly groups: readonly string[];
    /** True if the holder joined the group after the key was created. */
    readonly isLate: boolean;
    /** True if the holder restarted, and lost its claims, after the key was created. */
    readonly isRestarted: boolean;
    /** Attempts whose claim call the holder has handled. */
    readonly handled: readonly string[];
    readonly claim: Claim | undefined;
}

/** One attempt at the request; each attempt has a different entry. */
interface ModelAttempt {
    /** Verdicts are keyed by reply number instead of holder, because the holders are interchangeable. */
    readonly coordinator: ClaimAttempt;
    readonly phase: "claiming" | "granted" | "ended";
    readonly settlement: "run" | "released" | undefined;
    readonly outcome: Outcome | undefined;
}

/** State of the claim model: one non-repeatable request that the caller sends to two entries. */
export interface ClaimModelState {
    /** False until the views of the two entries are chosen. */
    readonly isStarted: boolean;
    /**
     * Holders that an undecided attempt has yet to ask; claims stored by the others can no longer change a
     * decision. Sorted, so that states that differ only in the order of the holders are equal.
     */
    readonly holders: readonly ModelHolder[];
    readonly attempts: Readonly<Record<string, ModelAttempt>>;
    /** Number of times that a target ran the request. */
    readonly runs: number;
    readonly crashes: number;
    /** True once an attempt was reported as `not-run` although a target had run the request. */
    readonly hasFalseRefusal: boolean;
}
