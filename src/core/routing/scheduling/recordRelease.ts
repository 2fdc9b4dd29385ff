import type { TargetGrant } from "../targetGrant.js";

/** Gives the capacity of a grant back; `wasStarted` is true if its first event was recorded. */
export function recordRelease(grant: TargetGrant, wasStarted: boolean): void {
    const { target, missingTokens } = grant;
    target.activity.remove(grant);
    target.inFlight -= 1;
    if (!wasStarted) {
        target.pendingTokens -= missingTokens;
    }
}
