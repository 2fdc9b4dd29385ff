/** Share of a target's slots that requests from elsewhere may fill; the rest is for the callers of its data centre. */
const SLOT_SHARE = 0.9;
/**
 * The same for the queue of prompts. It is smaller, because a queue costs all callers of the target their wait, while
 * a taken slot costs nobody until the slots run out.
 */
const QUEUE_SHARE = 0.7;

interface TargetUse {
    readonly inFlight: number;
    readonly pendingTokens: number;
}

/**
 * Returns which part of what requests from elsewhere may fill of a target some work takes.
 *
 * @param maxPendingTokens Prompt tokens at which the queue of an engine is full; `undefined` for a plain service.
 */
export function computeTargetFill(
    { inFlight, pendingTokens }: TargetUse,
    slots: number,
    maxPendingTokens: number | undefined,
): number {
    return Math.max(
        inFlight / Math.max(1, slots * SLOT_SHARE),
        maxPendingTokens === undefined ? 0 : pendingTokens / Math.max(1, maxPendingTokens * QUEUE_SHARE),
    );
}
