import type { Claim } from "./claim.js";
import type { ClaimEvent } from "./claimEvent.js";
import type { ClaimVerdict } from "./claimVerdict.js";

interface ClaimTransition {
    /** The claim that the holder remembers from now on. */
    readonly claim: Claim | undefined;
    /** Reply to a `claim` event; `undefined` for other events. */
    readonly verdict: ClaimVerdict | undefined;
}

/** Applies an event to one key at one holder. A key is granted to one attempt, which may claim it repeatedly. */
export function applyClaimEvent(claim: Claim | undefined, event: ClaimEvent): ClaimTransition {
    switch (event.kind) {
        case "claim":
            return applyClaim(claim, event);
        case "settle":
            return { claim: applySettle(claim, event.attempt, event.result), verdict: undefined };
        case "adopt":
            return { claim: mergeClaims(claim, event.claim), verdict: undefined };
    }
}

function applyClaim(
    claim: Claim | undefined,
    event: Extract<ClaimEvent, { readonly kind: "claim"; }>,
): ClaimTransition {
    if (claim) {
        const isOwn = claim.attempt === event.attempt && claim.state === "claimed" && event.isHolder;
        return { claim, verdict: isOwn ? "granted" : claim.state };
    }
    if (!event.isHolder) {
        return { claim, verdict: "not-holder" };
    }
    if (!event.isVouchable) {
        return { claim, verdict: "cannot-vouch" };
    }
    return { claim: { attempt: event.attempt, state: "claimed" }, verdict: "granted" };
}

function applySettle(
    claim: Claim | undefined,
    attempt: string,
    result: "released" | "run",
): Claim | undefined {
    if (result === "run") {
        return { attempt, state: "run" };
    }
    return claim?.attempt === attempt && claim.state === "claimed" ? undefined : claim;
}

/** If two attempts claimed the key, no release may free it for a third, so a claim of no attempt blocks it. */
function mergeClaims(own: Claim | undefined, received: Claim): Claim {
    if (!own || own.attempt === received.attempt || received.state === "run") {
        return own?.state === "run" ? own : received;
    }
    return own.state === "run" ? own : { attempt: "", state: "claimed" };
}
