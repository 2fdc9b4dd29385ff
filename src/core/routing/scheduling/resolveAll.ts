import type { SchedulerDecision } from "../schedulerDecision.js";
import type { WaitingRequest } from "../waitingRequest.js";

type Resolve = (waiting: WaitingRequest, blocked: Set<string>, countAhead: () => number) => SchedulerDecision;

/**
 * Decides on requests in the order in which they are served. An unexpected error must not keep the other requests of the same
 * pass from their grants.
 */
export function resolveAll(
    sorted: readonly WaitingRequest[],
    resolve: Resolve,
): readonly (readonly [WaitingRequest, SchedulerDecision])[] {
    const blocked = new Set<string>();
    return sorted.map((waiting, i) => {
        try {
            return [waiting, resolve(waiting, blocked, () => i)] as const;
        }
        catch (error) {
            return [waiting, { kind: "failed", error }] as const;
        }
    });
}
