interface WaitOptions {
    /** Monotonic times in milliseconds: the wait lasts until the first, and until the second while requests are active. */
    readonly lingerUntil: number;
    readonly stopBy: number;
    /** Called at the first of both times, with the time at which it has to be done. */
    readonly stopListening: (until: number) => Promise<void> | undefined;
    readonly countActive: () => number;
    readonly getNow: () => number;
}

const POLL_MS = 50;
/** Part of the remaining time in which queued connections are taken over; their requests are answered in the rest. */
const ACCEPT_SHARE = 0.5;

/**
 * Waits until `lingerUntil`, so that callers move to other instances, stops listening, and waits for active requests until
 * `stopBy`.
 */
export async function waitForRequests(
    { lingerUntil, stopBy, stopListening, countActive, getNow }: WaitOptions,
): Promise<void> {
    while (getNow() < lingerUntil) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    const now = getNow();
    await stopListening(now + (stopBy - now) * ACCEPT_SHARE);
    while (countActive() > 0 && getNow() < stopBy) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
