/**
 * Tracks the time since the configuration was last confirmed as the newest.
 *
 * @remarks The age is measured by the monotonic clock and by the wall clock, and the greater age counts: the monotonic
 * clock stops while a machine is suspended, and the wall clock may be set back.
 */
export class ConfigurationFreshness {
    readonly #limitMs: number;
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #confirmedAtTimeOfDay = Number.NEGATIVE_INFINITY;

    private constructor(limitMs: number) {
        this.#limitMs = limitMs;
    }

    /** Creates an unconfirmed state; a confirmation holds for `limitMs`. */
    static create(limitMs: number): ConfigurationFreshness {
        return new ConfigurationFreshness(limitMs);
    }

    /**
     * Records that the configuration was the newest at a moment.
     *
     * @param at Monotonic time in milliseconds.
     * @param timeOfDay The same moment in Unix milliseconds.
     */
    recordConfirmation(at: number, timeOfDay: number): void {
        this.#confirmedAt = Math.max(this.#confirmedAt, at);
        this.#confirmedAtTimeOfDay = timeOfDay;
    }

    /** Returns the age of the last confirmation in milliseconds; infinite if there was none. */
    getAge(now: number, timeOfDay: number): number {
        return Math.max(now - this.#confirmedAt, timeOfDay - this.#confirmedAtTimeOfDay);
    }

    /** Returns whether the configuration is recent enough to accept keys of client accounts. */
    isFresh(now: number, timeOfDay: number): boolean {
        return this.getAge(now, timeOfDay) < this.#limitMs;
    }
}
