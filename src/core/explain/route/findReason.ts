import type { RoutedRequest } from "../../routing/routedRequest.js";
import type { TargetEligibility } from "../../routing/targetEligibility.js";
import type { TargetState } from "../../routing/targetState.js";

/** Returns why a target was not compared with others for a request; `now` in monotonic milliseconds. */
export function findReason(
    target: TargetState,
    request: RoutedRequest,
    eligibility: TargetEligibility,
    now: number,
): string {
    const { descriptor } = target;
    const exclusion = eligibility.findExclusion(descriptor, request);
    if (exclusion !== undefined) {
        return exclusion;
    }
    if (eligibility.getPausedUntil(descriptor) > now) {
        return "paused";
    }
    // What is left is an over-share request, for which only targets that have its prompt are compared.
    return target.ejectedUntil > now ? "ejected" : "prompt-not-cached";
}
