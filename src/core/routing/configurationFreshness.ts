/**
 * Tracks how long ago the configuration was last known to be the newest.
 *
 * @remarks Both the steady clock and the time of day are kept, because the steady clock stands still while a machine
 * is suspended; the greater age counts.
 */
export class ConfigurationFreshness {
    readonly #limitMs: number;
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #confirmedAtTimeOfDay = Number.NEGATIVE_INFINITY;

    private constructor(limitMs: number) {
        this.#limitMs = limitMs;
    }

    /** Creates a state that was never confirmed. */
    static create(limitMs: number): ConfigurationFreshness {
        return new ConfigurationFreshness(limitMs);
    }

    /**
     * Records that the configuration was the newest at a time.
     *
     * @param at Monotonic time in milliseconds.
     * @param timeOfDay Unix milliseconds of the same moment.
     */
    recordConfirmation(at: number, timeOfDay: number): void {
        this.#confirmedAt = Math.max(this.#confirmedAt, at);
        this.#confirmedAtTimeOfDay = timeOfDay;
    }

    /** Returns the age of the last confirmation in milliseconds. */
    getAge(now: number, timeOfDay: number): number {
        return Math.max(now - this.#confirmedAt, timeOfDay - this.#confirmedAtTimeOfDay);
    }

    /** Returns whether keys may still be accepted. */
    isFresh(now: number, timeOfDay: number): boolean {
        return this.getAge(now, timeOfDay) < this.#limitMs;
    }
}
