import murmurhash from "murmurhash";

/** Requests return spread over this share of the pause, and over at least this time. */
const SPREAD_RATIO = 0.25;
const MIN_SPREAD_MS = 1000;
const HASH_RANGE = 2 ** 32;

/**
 * Returns when a request should come back whose targets want none for some time, in milliseconds: after the pause, and not
 * all requests at once.
 */
export function computePauseReturn(pauseMs: number, requestId: string): number {
    const position = murmurhash.v3(requestId) / HASH_RANGE;
    return pauseMs + Math.max(MIN_SPREAD_MS, pauseMs * SPREAD_RATIO) * position;
}
