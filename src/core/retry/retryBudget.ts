/** Retries that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries a second that are allowed even without requests. */
const MIN_RETRIES_PER_SECOND = 10;
/** Capacity of the token bucket in retries: ten seconds of the minimum rate. */
const MAX_SAVED_RETRIES = 100;
const MS_PER_SECOND = 1000;

/**
 * Retry budget of one service.
 *
 * @remarks Token bucket: 10% of the requests plus 10 retries a second.
 */
export class RetryBudget {
    readonly tokens: number;
    /** Monotonic time in milliseconds up to which the bucket was filled. */
    readonly filledAt: number;

    private constructor(tokens: number, filledAt: number) {
        this.tokens = tokens;
        this.filledAt = filledAt;
    }

    /**
     * Creates a budget with one second of the minimum rate.
     *
     * @param now Monotonic time in milliseconds, as in the other methods.
     */
    static create(now: number): RetryBudget {
        return new RetryBudget(MIN_RETRIES_PER_SECOND, now);
    }

    /** Adds the fraction of a retry that a new request earns. */
    addRequest(now: number): RetryBudget {
        return this.#fill(now, RETRIES_PER_REQUEST);
    }

    /** Takes one retry; returns `undefined` if the budget is exhausted. */
    tryTake(now: number): RetryBudget | undefined {
        const filled = this.#fill(now, 0);
        return filled.tokens < 1 ? undefined : new RetryBudget(filled.tokens - 1, filled.filledAt);
    }

    #fill(now: number, extra: number): RetryBudget {
        const gained = Math.max(0, now - this.filledAt) * MIN_RETRIES_PER_SECOND / MS_PER_SECOND;
        return new RetryBudget(Math.min(MAX_SAVED_RETRIES, this.tokens + gained + extra), now);
    }
}
