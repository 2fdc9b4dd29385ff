import murmurhash from "murmurhash";

/** Short enough for a request that returns to meet its objective, if there is capacity then. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 2500;
/** Refused requests return later by up to this share of their time, so that they do not meet again. */
const RETRY_SPREAD = 0.2;
const HASH_RANGE = 2 ** 32;

/** Limits a time to return, in milliseconds, to what callers can use, and spreads requests that would return together. */
export function limitRetryAfter(retryAfterMs: number, requestId: string): number {
    const position = murmurhash.v3(requestId) / HASH_RANGE;
    const limitedMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, retryAfterMs));
    return limitedMs * (1 + RETRY_SPREAD * position);
}
