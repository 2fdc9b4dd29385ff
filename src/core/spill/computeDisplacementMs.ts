/** Load beyond which the wait of others no longer grows in the estimate, so that the cost stays finite. */
const MAX_LOAD = 0.9;

/**
 * Estimates the wait in milliseconds that a request causes to the callers of the data centre that serves it.
 *
 * @remarks In a queue with load u, on average u / (1 - u) requests wait; each waits longer by the work of the request.
 *
 * @param workMs Time in milliseconds for which the request keeps its target from others.
 * @param fill Load of the data centre; 1 is full.
 */
export function computeDisplacementMs(workMs: number, fill: number): number {
    const load = Math.min(MAX_LOAD, fill);
    return workMs * load / (1 - load);
}
