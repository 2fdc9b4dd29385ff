import type { Decision } from "../../core/explain/decision.js";

const DEFAULT_CAPACITY = 20_000;

/** Keeps the newest decisions for `explain`. */
export class DecisionLog {
    readonly #capacity: number;
    readonly #decisions: Decision[] = [];
    #next = 0;

    private constructor(capacity: number) {
        this.#capacity = capacity;
    }

    /** Creates an empty log that keeps `capacity` decisions. */
    static create(capacity = DEFAULT_CAPACITY): DecisionLog {
        return new DecisionLog(capacity);
    }

    /** Records a decision and evicts the oldest when the log is full. */
    record(decision: Decision): void {
        this.#decisions[this.#next % this.#capacity] = decision;
        this.#next += 1;
    }

    /** Returns the decisions about a request, oldest first. */
    explainRequest(requestId: string): readonly Decision[] {
        return this.#list().filter(decision => decision.requestId === requestId);
    }

    /** Returns at most `limit` of the newest decisions about an account, oldest first. */
    explainAccount(account: string, limit: number): readonly Decision[] {
        return this.#list().filter(decision => decision.account === account).slice(-limit);
    }

    #list(): readonly Decision[] {
        const start = this.#next % this.#capacity;
        return this.#next <= this.#capacity
            ? this.#decisions
            : [...this.#decisions.slice(start), ...this.#decisions.slice(0, start)];
    }
}
