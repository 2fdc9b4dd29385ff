interface WaitOptions {
    /** Monotonic times in milliseconds: the wait lasts until the first, and until the second while requests are active. */
    readonly lingerUntil: number;
    readonly stopBy: number;
    readonly countActive: () => number;
    readonly getNow: () => number;
}

const POLL_MS = 50;

/** Waits until `lingerUntil`, so that callers move to other instances, and then for active requests until `stopBy`. */
export async function waitForRequests(
    { lingerUntil, stopBy, countActive, getNow }: WaitOptions,
): Promise<void> {
    while (getNow() < lingerUntil || (countActive() > 0 && getNow() < stopBy)) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
