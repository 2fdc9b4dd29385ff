/** Half of the budget of 51 ms between two tokens, so that a first resume stays within it on average. */
const BASE_MS = 25;
const MAX_MS = 1000;

/**
 * Returns the wait in milliseconds before attempt `attempt` + 1.
 *
 * @param attempt Attempts so far, from 1.
 * @param random Uniform in [0, 1).
 * @remarks Exponential backoff with full jitter.
 */
export function computeBackoff(attempt: number, random: number): number {
    return random * Math.min(MAX_MS, BASE_MS * 2 ** (attempt - 1));
}
