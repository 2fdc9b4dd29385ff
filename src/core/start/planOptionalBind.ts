import type { FailedBind } from "./failedBind.js";

const MIN_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 10_000;

/** Returns the monotonic time of the next attempt to bind a port that the process serves without. */
export function planOptionalBind({ failures, now }: Omit<FailedBind, "code">): number {
    return now + Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * 2 ** (failures - 1));
}
