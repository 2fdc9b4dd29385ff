import { DecayingSum } from "../routing/decayingSum.js";

/** Long enough for several requests of an engine; short enough to show within seconds that capacity is gone. */
const WINDOW_MS = 2000;
/** Accounts with a rate of their own. */
const MAX_ACCOUNTS = 1000;
/** Tokens a second below which an account counts as absent. */
const MIN_RATE = 1;

/** Tokens a second that an instance grants the requests of one service now, in all and by client account. */
export class GrantRates {
    readonly #total = DecayingSum.create(WINDOW_MS);
    readonly #accounts = new Map<string, DecayingSum>();

    /** Creates rates of zero, so that an instance that starts promises nothing yet. */
    static create(): GrantRates {
        return new GrantRates();
    }

    /** Records a grant at a monotonic time in milliseconds. */
    add(account: string, tokens: number, now: number): void {
        this.#total.add(tokens, now);
        let rate = this.#accounts.get(account);
        if (!rate) {
            this.#evict(now);
            if (this.#accounts.size >= MAX_ACCOUNTS) {
                return;
            }
            rate = DecayingSum.create(WINDOW_MS);
            this.#accounts.set(account, rate);
        }
        rate.add(tokens, now);
    }

    /** Returns the rate of the whole service. */
    getTotal(now: number): number {
        return this.#total.getPerSecond(now);
    }

    /** Returns what an account can expect: what it gets now, or an equal part if that is more. */
    getExpected(account: string, now: number): number {
        const rate = this.#accounts.get(account);
        const count = this.#accounts.size + (rate ? 0 : 1);
        return Math.max(rate?.getPerSecond(now) ?? 0, this.getTotal(now) / count);
    }

    #evict(now: number): void {
        for (const [account, rate] of this.#accounts) {
            if (rate.getPerSecond(now) < MIN_RATE) {
                this.#accounts.delete(account);
            }
        }
    }
}
