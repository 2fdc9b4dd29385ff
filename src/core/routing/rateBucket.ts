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

    /** Returns whether a token is available, without taking it. */
    has(now: number, perSecond: number, burst: number): boolean {
        const refill = (now - this.#refilledAt) * perSecond / MS_PER_SECOND;
        this.#tokens = Math.min(burst, this.#tokens + Math.max(0, refill));
        this.#refilledAt = now;
        return this.#tokens >= 1;
    }

    /** Takes one token; returns false if none is available. */
    tryTake(now: number, perSecond: number, burst: number): boolean {
        if (!this.has(now, perSecond, burst)) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }
}
