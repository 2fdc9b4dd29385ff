import type { CallResult } from "../../standIns/client/callResult.js";
import type { Arrival } from "../../standIns/target/arrival.js";

/** Counts arrivals since `startMs` whose marker matches no result; calls that did not end count too. */
export function countStrayArrivals(
    arrivals: readonly Arrival[],
    results: readonly CallResult[],
    startMs: number,
): number {
    const markers = new Set(results.map(result => result.marker));
    return arrivals.filter(arrival => arrival.startMs >= startMs && !markers.has(arrival.marker)).length;
}
