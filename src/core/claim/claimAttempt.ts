import type { ClaimVerdict } from "./claimVerdict.js";

/** One attempt of an entry to claim a key. */
export interface ClaimAttempt {
    readonly attempt: string;
    /** Names of the holders that were asked. */
    readonly group: readonly string[];
    /** Grants needed. */
    readonly quorum: number;
    /** True if the entry issued the key for this request, so that no earlier attempt can exist. */
    readonly isFresh: boolean;
    readonly verdicts: Readonly<Record<string, ClaimVerdict>>;
    readonly phase: "claiming" | "granted" | "refused";
}
