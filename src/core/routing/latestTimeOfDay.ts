/** Time of day that does not go back when the clock of the machine does. Times are milliseconds. */
export class LatestTimeOfDay {
    /** Greatest lead of the time of day before the monotonic time. */
    #lead = Number.NEGATIVE_INFINITY;

    /** Creates the time of a clock that has not been read. */
    static create(): LatestTimeOfDay {
        return new LatestTimeOfDay();
    }

    /** Returns the time that the clock shows, or would show if it had not been set back. */
    update(now: number, timeOfDay: number): number {
        this.#lead = Math.max(this.#lead, timeOfDay - now);
        return now + this.#lead;
    }
}
