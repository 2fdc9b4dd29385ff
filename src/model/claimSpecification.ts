import { computeClaimQuorum } from "../core/claim/computeClaimQuorum.js";
import { isVouchable } from "../core/claim/isVouchable.js";
import { createClaimSpecification } from "./createClaimSpecification.js";

/** Claim of a non-repeatable request under the production rules. */
export const claimSpecification = createClaimSpecification("claim of a non-repeatable request", {
    computeQuorum: computeClaimQuorum,
    isVouchable,
    isFresh: false,
}, { viewDifferences: [0, 1, 2, 4], maxCrashes: 1 });
