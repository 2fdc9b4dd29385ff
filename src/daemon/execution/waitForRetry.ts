import { setTimeout as sleep } from "node:timers/promises";

/** Waits some milliseconds; ends early when the signal aborts. */
export async function waitForRetry(ms: number, signal: AbortSignal): Promise<void> {
    await sleep(ms, undefined, { signal }).catch(() => undefined);
}
