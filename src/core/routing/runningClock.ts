/** A check that is late by less than this is not a suspension. */
const TOLERANCE_MS = 40;

/**
 * Monotonic clock that stands still while the process does not run. After a suspension, data of targets waits to be read
 * and must not be taken for missing. Times are in milliseconds.
 */
export class RunningClock {
    #suspendedMs = 0;

    /** Creates a clock that agrees with the monotonic clock. */
    static create(): RunningClock {
        return new RunningClock();
    }

    /** Records the delay of a periodic check; must be called before the check reads the clock. */
    recordDelay(delayMs: number): void {
        this.#suspendedMs += Math.max(0, delayMs - TOLERANCE_MS);
    }

    /** Converts a monotonic time. */
    toRunningTime(now: number): number {
        return now - this.#suspendedMs;
    }
}
