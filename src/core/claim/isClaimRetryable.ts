import type { ClaimAttempt } from "./claimAttempt.js";

/**
 * True if a refused attempt may reach its quorum in a retry, because enough holders that did not grant the key were
 * unreachable or had another view of the group. A holder that cannot vouch for the key never will.
 *
 * @param transient Names of the holders that were unreachable or not in the group in their own view.
 */
export function isClaimRetryable(attempt: ClaimAttempt, transient: ReadonlySet<string>): boolean {
    const verdicts = Object.values(attempt.verdicts);
    const grants = verdicts.filter(verdict => verdict === "granted").length;
    return attempt.phase === "refused"
        && attempt.group.length > 0
        && !verdicts.includes("run")
        && !verdicts.includes("claimed")
        && grants + transient.size >= attempt.quorum;
}
