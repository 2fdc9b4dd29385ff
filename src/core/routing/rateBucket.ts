const MS_PER_SECOND = 1000;

/** Token bucket: limits events to a rate with a bounded burst. */
export class RateBucket {
    #tokens: number;
    #refilledAt: number;

    private constructor(tokens: number, now: number) {
        this.#tokens = tokens;
        this.#refilledAt = now;
    }

    /** Creates a full bucket. */
    static create(burst: number, now: number): RateBucket {
        return new RateBucket(burst, now);
    }

    /** Returns a function that undoes all later changes, so that a decision can be explained without an effect on the bucket. */
    keep(): () => void {
        const [tokens, refilledAt] = [this.#tokens, this.#refilledAt];
        return () => {
            this.#tokens = tokens;
            this.#refilledAt = refilledAt;
        };
    }

    /**
     * Returns whether there are enough tokens, without taking one.
     *
     * @param least Tokens that have to be there; fewer than one allow the bucket to owe some. @default 1
     */
    has(now: number, perSecond: number, burst: number, least = 1): boolean {
        const refill = (now - this.#refilledAt) * perSecond / MS_PER_SECOND;
        this.#tokens = Math.min(burst, this.#tokens + Math.max(0, refill));
        this.#refilledAt = now;
        return this.#tokens >= least;
    }

    /** Takes one token; returns false if there are fewer than `least`. */
    tryTake(now: number, perSecond: number, burst: number, least = 1): boolean {
        if (!this.has(now, perSecond, burst, least)) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }
}
