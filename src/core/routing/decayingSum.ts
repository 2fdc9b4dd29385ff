const MS_PER_SECOND = 1000;

/** Sum of amounts that decay exponentially with age. */
export class DecayingSum {
    readonly #timeConstantMs: number;
    #value = 0;
    #updatedAt = 0;

    private constructor(timeConstantMs: number) {
        this.#timeConstantMs = timeConstantMs;
    }

    /** Creates a sum of zero; an amount decays to 1/e in `timeConstantMs`. */
    static create(timeConstantMs: number): DecayingSum {
        return new DecayingSum(timeConstantMs);
    }

    /** Adds an amount at a monotonic time in milliseconds. */
    add(amount: number, now: number): void {
        this.#value = this.get(now) + amount;
        this.#updatedAt = now;
    }

    /** Returns the steady rate per second that makes the sum what it is at a monotonic time in milliseconds. */
    getPerSecond(now: number): number {
        return this.get(now) / this.#timeConstantMs * MS_PER_SECOND;
    }

    /** Returns the sum at a monotonic time in milliseconds. */
    get(now: number): number {
        return this.#value * Math.exp(Math.min(0, this.#updatedAt - now) / this.#timeConstantMs);
    }
}
