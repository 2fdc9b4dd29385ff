import type { Outcome } from "../errors/outcome.js";
import type { RefusalReason } from "../errors/refusalReason.js";
import type { ClaimAttempt } from "./claimAttempt.js";

interface ClaimRefusal {
    readonly code: RefusalReason;
    readonly outcome: Outcome;
}

/**
 * Returns why an attempt reached no quorum. A key that the caller sent may belong to an earlier attempt that ran, and
 * only a quorum of holders could rule that out, so its outcome is `unknown`.
 */
export function describeClaimRefusal(attempt: ClaimAttempt): ClaimRefusal {
    const verdicts = Object.values(attempt.verdicts);
    if (verdicts.includes("run")) {
        return { code: "key-already-run", outcome: "run" };
    }
    if (verdicts.includes("claimed")) {
        return { code: "key-already-claimed", outcome: "unknown" };
    }
    if (attempt.isFresh) {
        return { code: "claim-unavailable", outcome: "not-run" };
    }
    return { code: "key-cannot-be-vouched-for", outcome: "unknown" };
}
