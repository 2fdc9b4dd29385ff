/** Time constant in which the estimate follows what the targets finish while capacity is short. */
const FALL_MS = 2000;
/** Time in which the estimate returns to the stated rate once there is enough capacity. */
const RECOVERY_MS = 4000;
/** Part of the stated rate below which the estimate does not fall, so that a silent fleet does not exclude everyone. */
const MIN_RATIO = 0.25;

/**
 * Estimates the token rate that the targets of a service achieve together. What is granted shows it only while capacity is short;
 * at other times it shows the demand, so that the estimate then returns to the stated rate.
 */
export class CapacityEstimate {
    #perSecond: number | undefined;
    /** Monotonic time in milliseconds. */
    #updatedAt = 0;

    /** Creates an estimate without measurements. */
    static create(): CapacityEstimate {
        return new CapacityEstimate();
    }

    /**
     * Returns the tokens a second that the targets achieve.
     *
     * @param statedPerSecond Rate that is assumed without measurements.
     * @param grantedPerSecond Rate at which all instances are granting tokens.
     * @param isShort Whether accounts within their share lack capacity.
     */
    estimate(statedPerSecond: number, grantedPerSecond: number, isShort: boolean, now: number): number {
        if (this.#perSecond === undefined) {
            return statedPerSecond;
        }
        const goal = isShort
            ? Math.max(grantedPerSecond, statedPerSecond * MIN_RATIO)
            : Math.max(grantedPerSecond, statedPerSecond);
        const elapsedMs = Math.max(0, now - this.#updatedAt);
        const weight = 1 - Math.exp(-elapsedMs / (isShort ? FALL_MS : RECOVERY_MS));
        return this.#perSecond + (goal - this.#perSecond) * weight;
    }

    /** Records an estimate, from which the next one goes on. */
    record(perSecond: number, now: number): void {
        this.#perSecond = perSecond;
        this.#updatedAt = now;
    }
}
