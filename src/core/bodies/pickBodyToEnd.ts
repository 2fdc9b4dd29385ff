import type { OpenBody } from "./openBody.js";

/**
 * Picks the body that is ended first while memory is short: the one with the largest product of held bytes and time without
 * progress, so that a body that has just arrived is picked last.
 *
 * @param now Monotonic time in milliseconds.
 * @param minIdleMs Bodies that have progressed within this time are not picked.
 * @returns `undefined` if no body that holds memory has been without progress for as long.
 */
export function pickBodyToEnd<T extends OpenBody>(
    bodies: Iterable<T>,
    now: number,
    minIdleMs: number,
): T | undefined {
    let picked: T | undefined;
    let highest = 0;
    for (const body of bodies) {
        const idleMs = now - body.progressedAt;
        const cost = body.heldBytes * idleMs;
        if (idleMs >= minIdleMs && cost > highest) {
            picked = body;
            highest = cost;
        }
    }
    return picked;
}
