/** Bytes that count as progress without completing an event, as in a large event over a slow link. */
const PROGRESS_BYTES = 1024;

/**
 * Tracks when a response last made progress: a completed event, or a substantial number of bytes. A target that sends a
 * byte now and then makes none. Times are monotonic, in milliseconds.
 */
export class ProgressTracker {
    #lastProgressAt: number;
    #partialBytes = 0;
    #isBlocked = false;
    #hasProgressed = false;
    #longestPauseMs = 0;

    private constructor(now: number) {
        this.#lastProgressAt = now;
    }

    /** Creates a tracker of a response that is expected from now on. */
    static create(now: number): ProgressTracker {
        return new ProgressTracker(now);
    }

    /** Longest time between two signs of progress so far. */
    get longestPauseMs(): number {
        return this.#longestPauseMs;
    }

    /** Returns the time since the last progress; 0 while the caller, and not the target, holds the response back. */
    getInactiveMs(now: number): number {
        return this.#isBlocked ? 0 : now - this.#lastProgressAt;
    }

    /** Records the head of the response or a completed event. */
    recordProgress(now: number): void {
        if (this.#hasProgressed) {
            this.#longestPauseMs = Math.max(this.#longestPauseMs, now - this.#lastProgressAt);
        }
        this.#hasProgressed = true;
        this.#lastProgressAt = now;
        this.#partialBytes = 0;
    }

    /** Records bytes that complete no event. */
    recordBytes(count: number, now: number): void {
        this.#partialBytes += count;
        if (this.#partialBytes >= PROGRESS_BYTES) {
            this.recordProgress(now);
        }
    }

    /** Records whether the caller reads too slowly for more of the response to be read from the target. */
    setBlocked(isBlocked: boolean, now: number): void {
        if (this.#isBlocked && !isBlocked) {
            this.#lastProgressAt = Math.max(this.#lastProgressAt, now);
        }
        this.#isBlocked = isBlocked;
    }
}
