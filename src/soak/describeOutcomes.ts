import { computePercentile } from "../measure/computePercentile.js";
import type { OfferedRequest } from "../testing/offeredRequest.js";

/** Describes how requests ended: how many with which status or error, and the median time in milliseconds until then. */
export function describeOutcomes(requests: readonly OfferedRequest[]): string {
    const times = new Map<string, readonly number[]>();
    for (const request of requests) {
        const name = describeOutcome(request);
        times.set(name, [...times.get(name) ?? [], request.ms]);
    }
    return [...times].map(([name, list]) =>
        `${list.length} ${name} after ${Math.round(computePercentile(list, 50) ?? 0)} ms`
    ).join(", ");
}

function describeOutcome({ status, isGivenUp, error }: OfferedRequest): string {
    if (status !== 0) {
        return `status ${status}`;
    }
    return isGivenUp ? "given up" : error ?? "closed";
}
