import type { ProgressTracker } from "../core/routing/progressTracker.js";
import type { TargetExchange } from "./targetExchange.js";

/** Stops reading a response until its caller has read what was sent; the time does not count as a silence of the target. */
export function waitForCaller(
    exchange: Pick<TargetExchange, "pause" | "resume"> | undefined,
    progress: ProgressTracker,
    getRunningTime: () => number,
    onDrain: (listener: () => void) => void,
): void {
    exchange?.pause();
    progress.setBlocked(true, getRunningTime());
    onDrain(() => {
        progress.setBlocked(false, getRunningTime());
        exchange?.resume();
    });
}
