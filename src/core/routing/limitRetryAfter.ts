import murmurhash from "murmurhash";

const MIN_RETRY_AFTER_MS = 250;
/** Callers wait for at most a third of the time that they have left, which is 4 s for the longest requests. */
const MAX_RETRY_AFTER_MS = 4000;
/** Refused requests return later by up to this share of their time, so that they do not meet again. */
const RETRY_SPREAD = 0.5;
const HASH_RANGE = 2 ** 32;

/** Limits a time to return, in milliseconds, to what callers can use, and spreads requests that would return together. */
export function limitRetryAfter(retryAfterMs: number, requestId: string): number {
    const position = murmurhash.v3(requestId) / HASH_RANGE;
    const limitedMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, retryAfterMs));
    return limitedMs * (1 + RETRY_SPREAD * position);
}
