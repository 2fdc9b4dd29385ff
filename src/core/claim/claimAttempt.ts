import type { ClaimVerdict } from "./claimVerdict.js";

/** One attempt of an entry to claim a key. */
export interface ClaimAttempt {
    readonly attempt: string;
    /** Names of the holders that are asked for the key. */
    readonly group: readonly string[];
    /** Number of grants that the attempt needs. */
    readonly quorum: number;
    /** True if the entry issued the key for this request, so that no earlier attempt can exist. */
    readonly isFresh: boolean;
    readonly verdicts: Readonly<Record<string, ClaimVerdict>>;
    readonly phase: "claiming" | "granted" | "refused";
}
