import { DecayingSum } from "./decayingSum.js";
import { RateBucket } from "./rateBucket.js";

const MS_PER_SECOND = 1000;
/** Factor by which the rate falls when the process does not keep up. */
const DECREASE_FACTOR = 0.97;
/** Lowest rate in requests a second. */
const MIN_RATE = 5;
const GROWTH_INTERVAL_MS = 100;
/** Growth in the first interval after a decrease, as a share of the rate; each further one brings more. */
const FIRST_GROWTH_SHARE = 0.03;
const GROWTH_FACTOR = 1.25;
/** Time for which unused admissions are kept. */
const BURST_MS = 100;
/** Time after which half of the highest measured rate is forgotten. */
const PEAK_HALF_LIFE_MS = 1000;
/** The limit is lifted this long after the last sign of an overload. */
const RECOVERY_MS = 1000;
/** The limit is lifted at once if less is offered than this share of what was admitted before the overload. */
const LIGHT_SHARE = 0.75;
/** Time over which the rates of the requests are averaged. */
const AVERAGE_MS = 250;

/**
 * Limit of the requests that a process admits in a second. It has none while the process keeps up; once it does not, the limit
 * follows the rate that it can serve: it falls in small steps, and grows faster the longer it has not fallen. The number of active
 * requests is no measure of the load: at the beginning of an overload, few of the long streams have begun.
 */
export class AdmissionLimit {
    #rate = Number.POSITIVE_INFINITY;
    /** Last finite rate. */
    #lastRate = 0;
    /** Rate after the last decrease. */
    #decreasedRate = 0;
    #growthShare = FIRST_GROWTH_SHARE;
    /** Admissions that are left; it owes some after loans. */
    #bucket = RateBucket.create(0, 0);
    #growAt = 0;
    readonly #offered = DecayingSum.create(AVERAGE_MS);
    readonly #admitted = DecayingSum.create(AVERAGE_MS);
    /** Highest average of admissions, which falls with time: the delay that shows an overload has slowed the last ones. */
    #peakRate = 0;
    #peakAt = 0;
    /** What was admitted in a second before the overload. */
    #soundRate = 0;
    /** Monotonic time in milliseconds of the last sign or refusal. */
    #keptAt = 0;

    /** Creates a limit that refuses nothing. */
    static create(): AdmissionLimit {
        return new AdmissionLimit();
    }

    /** Admissions a second; infinite without a limit. */
    get rate(): number {
        return this.#rate;
    }

    /** Admissions a second at the last limit. */
    get lastRate(): number {
        return this.#lastRate;
    }

    /** True from the first sign that the process does not keep up until a second after the last sign or refusal, or until little comes. */
    get isActive(): boolean {
        return this.#rate !== Number.POSITIVE_INFINITY;
    }

    /** Returns whether more is offered than the limit admits; `now` in monotonic milliseconds. */
    isExceeded(now: number): boolean {
        return this.#offered.getPerSecond(now) > this.#rate;
    }

    /** Records that the process does not keep up, which lowers the limit; `now` in monotonic milliseconds. */
    recordOverload(now: number): void {
        this.update(now);
        this.#updatePeak(now);
        if (!this.isActive) {
            this.#bucket = RateBucket.create(0, now);
            this.#soundRate = this.#peakRate;
            this.#decreasedRate = this.#peakRate;
        }
        // What has grown since and was not used says nothing; what could not be admitted meanwhile does not either.
        const usedRate = Math.max(this.#decreasedRate, Math.min(this.#rate, this.#peakRate));
        this.#rate = Math.max(MIN_RATE, usedRate * DECREASE_FACTOR);
        this.#decreasedRate = this.#rate;
        this.#keptAt = now;
        // Growth in the interval after a decrease would cancel it.
        this.#growAt = now + 2 * GROWTH_INTERVAL_MS;
        this.#growthShare = FIRST_GROWTH_SHARE;
    }

    /**
     * Returns whether another request is admitted.
     *
     * @param now Monotonic time in milliseconds.
     * @param isLate Whether it has waited for so long that it is refused in an overload, whatever the rate.
     */
    mayAdmit(now: number, isLate = false): boolean {
        this.#offered.add(1, now);
        this.update(now);
        if (this.isActive) {
            if (isLate) {
                return false;
            }
            if (!this.#tryTake(now, 1)) {
                this.#keptAt = now;
                return false;
            }
        }
        this.#recordAdmission(now);
        return true;
    }

    /** Records a request that is refused for another reason; the limit stays in force. */
    recordRefusal(now: number): void {
        this.#offered.add(1, now);
        this.update(now);
        this.#keptAt = now;
    }

    /**
     * Returns whether another request would be admitted now, without a record of it.
     *
     * @param maxDebtMs Longest time in milliseconds for which it may hold back others. @default it may not
     */
    hasAdmission(now: number, maxDebtMs?: number): boolean {
        this.update(now);
        return !this.isActive || this.#bucket.has(now, this.#rate, this.#burst, this.#getLeast(maxDebtMs));
    }

    /**
     * Returns whether a request that was refused is admitted all the same; others get less for it.
     *
     * @param now Monotonic time in milliseconds.
     * @param maxDebtMs Longest time in milliseconds for which requests admitted so may hold back others.
     */
    mayBorrow(now: number, maxDebtMs: number): boolean {
        this.update(now);
        if (this.isActive && !this.#tryTake(now, this.#getLeast(maxDebtMs))) {
            return false;
        }
        this.#recordAdmission(now);
        return true;
    }

    /**
     * Returns whether a request that has been held back is admitted. It keeps to the last rate when the limit is lifted, so that
     * those that have been held back are no burst to later ones.
     *
     * @param now Monotonic time in milliseconds.
     */
    mayAdmitHeld(now: number): boolean {
        this.update(now);
        if (!this.#tryTake(now, 1)) {
            return false;
        }
        this.#recordAdmission(now);
        return true;
    }

    /** Raises the limit with time, and lifts it once nothing is refused any more or little comes; `now` in monotonic milliseconds. */
    update(now: number): void {
        this.#lastRate = this.isActive ? this.#rate : this.#lastRate;
        const isLight = now >= this.#growAt
            && this.#offered.getPerSecond(now) < this.#soundRate * LIGHT_SHARE;
        if (isLight || now - this.#keptAt >= RECOVERY_MS) {
            this.#rate = Number.POSITIVE_INFINITY;
        }
        while (this.isActive && now >= this.#growAt) {
            this.#growAt += GROWTH_INTERVAL_MS;
            this.#rate *= 1 + this.#growthShare;
            this.#growthShare *= GROWTH_FACTOR;
        }
    }

    get #currentRate(): number {
        return this.isActive ? this.#rate : this.#lastRate;
    }

    get #burst(): number {
        return Math.max(1, this.#currentRate * BURST_MS / MS_PER_SECOND);
    }

    #getLeast(maxDebtMs: number | undefined): number {
        return maxDebtMs === undefined ? 1 : -this.#rate * maxDebtMs / MS_PER_SECOND;
    }

    #tryTake(now: number, least: number): boolean {
        return this.#bucket.tryTake(now, this.#currentRate, this.#burst, least);
    }

    #recordAdmission(now: number): void {
        this.#admitted.add(1, now);
        this.#updatePeak(now);
        this.#peakRate = Math.max(this.#peakRate, this.#admitted.getPerSecond(now));
    }

    #updatePeak(now: number): void {
        this.#peakRate *= 0.5 ** ((now - this.#peakAt) / PEAK_HALF_LIFE_MS);
        this.#peakAt = now;
    }
}
