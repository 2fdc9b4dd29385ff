import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";

/** Describes the runs of a request at targets in the order of their arrival, with the faults of the targets. */
export function describeRuns({ targets, crashes }: CooperativeFleet, requestId: string): string {
    const runs = targets.flatMap(({ target }) =>
        target.arrivals.filter(arrival => arrival.requestId === requestId).map(arrival => ({
            target,
            ...arrival,
        }))
    );
    const first = Math.min(...runs.map(({ at }) => at));
    return runs.sort((a, b) => a.at - b.at).map(({ target, version, lastEventId, fault, at }) => {
        const crash = crashes.find(other => other.targetId === target.id);
        return [
            `${target.id} (${version}) after event ${lastEventId} at ${(at - first).toFixed(0)} ms`,
            ...fault === "none" ? [] : [`fault ${fault}`],
            ...crash ? [`crashed at ${(crash.at - first).toFixed(0)} ms`] : [],
        ].join(", ");
    }).join("; ");
}
