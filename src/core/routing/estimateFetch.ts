import type { RoutedService } from "./routedService.js";

/** Time in milliseconds that an engine takes to set up a fetch, besides the round trip to the source. */
const SETUP_MS = 4;
/** Transfers between data centres share their links and take this many times as long. */
const REMOTE_FACTOR = 2;
const BITS_PER_BYTE = 8;
const BITS_PER_MBIT_MS = 1000;

/** Estimates the time in milliseconds in which an engine fetches cached prompt tokens from another one. */
export function estimateFetch(
    engine: NonNullable<RoutedService["engine"]>,
    tokens: number,
    path: { readonly roundTripMs: number; readonly isSameDataCentre: boolean; },
): number {
    const transferMs = engine.linkMbps > 0
        ? tokens * engine.tokenBytes * BITS_PER_BYTE / (engine.linkMbps * BITS_PER_MBIT_MS)
        : 0;
    return SETUP_MS + path.roundTripMs + transferMs * (path.isSameDataCentre ? 1 : REMOTE_FACTOR);
}
