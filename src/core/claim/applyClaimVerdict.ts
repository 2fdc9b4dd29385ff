import type { ClaimAttempt } from "./claimAttempt.js";
import type { ClaimVerdict } from "./claimVerdict.js";

/**
 * Reducer of the coordinator: takes the verdict of one holder; `unreachable` for a holder without a reply.
 * A verdict after the decision changes nothing.
 */
export function applyClaimVerdict(
    attempt: ClaimAttempt,
    holder: string,
    verdict: ClaimVerdict | "unreachable",
): ClaimAttempt {
    if (attempt.phase !== "claiming" || !attempt.group.includes(holder)) {
        return attempt;
    }
    const verdicts = {
        ...attempt.verdicts,
        [holder]: verdict === "unreachable" ? "cannot-vouch" as const : verdict,
    };
    const grants = Object.values(verdicts).filter(value => value === "granted").length;
    const open = attempt.group.length - Object.keys(verdicts).length;
    if (grants >= attempt.quorum && attempt.quorum > 0) {
        return { ...attempt, verdicts, phase: "granted" };
    }
    return { ...attempt, verdicts, phase: open === 0 ? "refused" : "claiming" };
}
