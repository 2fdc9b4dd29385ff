/** Counts of client accounts since they were last taken. */
export class AccountCounts {
    readonly #counts = new Map<string, number>();

    /** Creates counts of zero. */
    static create(): AccountCounts {
        return new AccountCounts();
    }

    /** Adds to the count of an account. */
    add(account: string, count: number): void {
        this.#counts.set(account, (this.#counts.get(account) ?? 0) + count);
    }

    /** Returns the account with the highest count, which is `undefined` if there is none, and starts anew. */
    takeTop(): { readonly topAccount: string | undefined; readonly count: number; } {
        const [topAccount, count = 0] = [...this.#counts].sort(([, a], [, b]) => b - a)[0] ?? [];
        this.#counts.clear();
        return { topAccount, count };
    }
}
