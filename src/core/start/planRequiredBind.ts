import type { FailedBind } from "./failedBind.js";

/** The address is in use, or the network has not configured it yet; both may pass. */
const PASSING_CODES: ReadonlySet<string | undefined> = new Set(["EADDRINUSE", "EADDRNOTAVAIL"]);
const MIN_INTERVAL_MS = 25;
const MAX_INTERVAL_MS = 200;

/**
 * Plans the next attempt to bind a port without which the process cannot serve.
 *
 * @param deadline Monotonic time in milliseconds after which there is no further attempt.
 * @returns The monotonic time of the attempt; `undefined` if waiting cannot help or the deadline has passed.
 */
export function planRequiredBind({ code, failures, now }: FailedBind, deadline: number): number | undefined {
    if (!PASSING_CODES.has(code) || now >= deadline) {
        return undefined;
    }
    return Math.min(deadline, now + Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * 2 ** (failures - 1)));
}
