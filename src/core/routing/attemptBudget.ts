interface AttemptBudgetOptions {
    /** Retries allowed for each request. */
    readonly ratio: number;
    /** Time over which requests and retries are counted, in milliseconds. */
    readonly windowMs: number;
}

/** Retry budget of one service at one instance; counts requests and retries of a sliding window. */
export class AttemptBudget {
    readonly #options: AttemptBudgetOptions;
    #requests: number[] = [];
    #retries: number[] = [];

    private constructor(options: AttemptBudgetOptions) {
        this.#options = options;
    }

    /** Creates a budget without requests. */
    static create(options: AttemptBudgetOptions): AttemptBudget {
        return new AttemptBudget(options);
    }

    /** Counts a request that a caller sent. */
    addRequest(now: number): void {
        this.#requests.push(now);
    }

    /**
     * Takes one retry; false when the instance has spent its part.
     *
     * @remarks An instance that retries at most `ratio` of its own requests keeps the sum over all instances
     * within `ratio`, without any exchange.
     */
    tryTake(now: number): boolean {
        const from = now - this.#options.windowMs;
        this.#requests = dropBefore(this.#requests, from);
        this.#retries = dropBefore(this.#retries, from);
        if (this.#retries.length + 1 > this.#requests.length * this.#options.ratio) {
            return false;
        }
        this.#retries.push(now);
        return true;
    }
}

function dropBefore(times: readonly number[], from: number): number[] {
    const first = times.findIndex(time => time >= from);
    return first < 0 ? [] : times.slice(first);
}
