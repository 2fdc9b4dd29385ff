import type { RoutedRequest } from "../routing/routedRequest.js";

/** Share of its value that a late response loses (docs/release-17.md: late is worth 0.3 of the value). */
const LATE_LOSS = 0.7;

/**
 * Adds to the cost of a wait what a late response loses, as a part of the objective.
 *
 * @param costMs Wait and penalties in milliseconds.
 * @param waitMs Expected time in milliseconds to the first event.
 */
export function computeWaitCost(
    request: Pick<RoutedRequest, "objectiveDeadline" | "route">,
    costMs: number,
    waitMs: number,
    now: number,
): number {
    return costMs + (now + waitMs > request.objectiveDeadline ? LATE_LOSS * request.route.objectiveMs : 0);
}
