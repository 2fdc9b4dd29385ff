import { RetryBudget } from "../../core/retry/retryBudget.js";

/** Retry budgets by service. */
export class RetryBudgets {
    readonly #getNow: () => number;
    readonly #budgets = new Map<string, RetryBudget>();

    private constructor(getNow: () => number) {
        this.#getNow = getNow;
    }

    /**
     * Creates an empty table; the budget of a service starts with one second of its minimum rate.
     *
     * @param getNow Monotonic time in milliseconds.
     */
    static create(getNow: () => number): RetryBudgets {
        return new RetryBudgets(getNow);
    }

    /** Adds the fraction of a retry that a new request earns for its service. */
    addRequest(service: string): void {
        this.#budgets.set(service, this.#get(service).addRequest(this.#getNow()));
    }

    /** Takes one retry; returns false if the budget of the service is exhausted. */
    tryTake(service: string): boolean {
        const remaining = this.#get(service).tryTake(this.#getNow());
        if (!remaining) {
            return false;
        }
        this.#budgets.set(service, remaining);
        return true;
    }

    #get(service: string): RetryBudget {
        return this.#budgets.get(service) ?? RetryBudget.create(this.#getNow());
    }
}
