interface WaitOptions {
    /** Monotonic times in milliseconds: the wait lasts until the first, and until the second while requests are open. */
    readonly lingerUntil: number;
    readonly stopBy: number;
    readonly countActive: () => number;
    readonly getNow: () => number;
}

const POLL_MS = 50;

/** Waits until callers have gone elsewhere and their requests have ended, or the time to stop has come. */
export async function waitForRequests(
    { lingerUntil, stopBy, countActive, getNow }: WaitOptions,
): Promise<void> {
    while (getNow() < lingerUntil || (countActive() > 0 && getNow() < stopBy)) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
