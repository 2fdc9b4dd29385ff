import type { ClaimAttempt } from "./claimAttempt.js";
import type { ClaimVerdict } from "./claimVerdict.js";

/**
 * Adds the verdict of one holder to an attempt and decides the attempt once its result is certain; `unreachable` stands
 * for a holder without a reply. Verdicts after the decision or from outside the group are ignored.
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
