import { setTimeout as sleep } from "node:timers/promises";

/** Waits for the backoff before a retry, in milliseconds; resolves early when the signal aborts. */
export async function waitForRetry(ms: number, signal: AbortSignal): Promise<void> {
    await sleep(ms, undefined, { signal }).catch(() => undefined);
}
