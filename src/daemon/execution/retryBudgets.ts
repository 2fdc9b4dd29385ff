import { RetryBudget } from "../../core/retry/retryBudget.js";

/** The retry budgets of all services. */
export class RetryBudgets {
    readonly #getNow: () => number;
    readonly #budgets = new Map<string, RetryBudget>();

    private constructor(getNow: () => number) {
        this.#getNow = getNow;
    }

    /** Creates budgets that start at their minimum. */
    static create(getNow: () => number): RetryBudgets {
        return new RetryBudgets(getNow);
    }

    /** Adds the share of one new request. */
    addRequest(service: string): void {
        this.#budgets.set(service, this.#get(service).addRequest(this.#getNow()));
    }

    /** Takes one retry; false when the budget of the service is used up. */
    tryTake(service: string): boolean {
        const left = this.#get(service).tryTake(this.#getNow());
        if (!left) {
            return false;
        }
        this.#budgets.set(service, left);
        return true;
    }

    #get(service: string): RetryBudget {
        return this.#budgets.get(service) ?? RetryBudget.create(this.#getNow());
    }
}
