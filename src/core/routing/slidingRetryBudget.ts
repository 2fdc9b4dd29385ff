interface AttemptBudgetOptions {
    /** Retries allowed per request. */
    readonly ratio: number;
    /** Length of the sliding window in milliseconds. */
    readonly windowMs: number;
}

/** Retry budget of one service at one instance, over a sliding window. */
export class SlidingRetryBudget {
    readonly #options: AttemptBudgetOptions;
    #requests: number[] = [];
    #retries: number[] = [];

    private constructor(options: AttemptBudgetOptions) {
        this.#options = options;
    }

    /** Creates a budget without requests. */
    static create(options: AttemptBudgetOptions): SlidingRetryBudget {
        return new SlidingRetryBudget(options);
    }

    /** Counts a request of a caller; retries do not add to the budget. */
    addRequest(now: number): void {
        this.#requests.push(now);
    }

    /**
     * Takes one retry from the budget; returns false if it is exhausted.
     *
     * @remarks Each instance keeps its retries within `ratio` of its own requests, so the whole fleet stays within
     * `ratio` without coordination.
     */
    tryTake(now: number): boolean {
        if (!this.hasRetry(now)) {
            return false;
        }
        this.#retries.push(now);
        return true;
    }

    /** Returns whether `tryTake` would take a retry. */
    hasRetry(now: number): boolean {
        const windowStart = now - this.#options.windowMs;
        this.#requests = dropBefore(this.#requests, windowStart);
        this.#retries = dropBefore(this.#retries, windowStart);
        return this.#retries.length + 1 <= this.#requests.length * this.#options.ratio;
    }
}

function dropBefore(times: readonly number[], windowStart: number): number[] {
    const first = times.findIndex(time => time >= windowStart);
    return first < 0 ? [] : times.slice(first);
}
