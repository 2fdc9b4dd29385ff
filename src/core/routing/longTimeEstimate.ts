/** Weight of the newest sample, and deviations above the average, as in TCP's retransmission timer (RFC 6298). */
const WEIGHT = 0.125;
const DEVIATIONS = 4;

/** Estimates a time that samples rarely exceed, from moving averages of the samples and of their deviation. */
export class LongTimeEstimate {
    readonly #minRatio: number;
    #averageMs = 0;
    #deviationMs = 0;

    private constructor(minRatio: number) {
        this.#minRatio = minRatio;
    }

    /** Creates an estimate of 0. With samples that hardly vary, it stays at least `minRatio` times their average. */
    static create(minRatio: number): LongTimeEstimate {
        return new LongTimeEstimate(minRatio);
    }

    /** Adds a sample in milliseconds. */
    add(ms: number): void {
        this.#deviationMs += (Math.abs(ms - this.#averageMs) - this.#deviationMs) * WEIGHT;
        this.#averageMs += (ms - this.#averageMs) * WEIGHT;
    }

    /** Returns the estimate in milliseconds; 0 without samples. */
    get(): number {
        return Math.max(
            this.#averageMs * this.#minRatio,
            this.#averageMs + DEVIATIONS * this.#deviationMs,
        );
    }
}
