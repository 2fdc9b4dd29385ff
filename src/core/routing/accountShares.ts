import type { AccountUsage } from "./accountUsage.js";

interface AccountSharesOptions {
    readonly usage: AccountUsage;
    /** Tokens a second that all engines process together; 0 if unknown or if the service has no engines. */
    readonly getTokensPerSecond: () => number;
}

/** The stated rate counts each prompt token as read; engines take more, since about a third of them is kept. */
const KEPT_FACTOR = 1.4;
/** An account gets at most this many times its share while others want more than theirs. */
const MAX_EXCESS = 1.8;
/** Shares follow sums over several seconds, so that one computation serves the requests of this time. */
const VALIDITY_MS = 40;

/** Compares what client accounts were granted with their share. */
export class AccountShares {
    readonly #options: AccountSharesOptions;
    #share = Number.POSITIVE_INFINITY;
    #validUntil = 0;

    private constructor(options: AccountSharesOptions) {
        this.#options = options;
    }

    /** Creates the shares of the client accounts of one service. */
    static create(options: AccountSharesOptions): AccountShares {
        return new AccountShares(options);
    }

    /**
     * Returns how an account stands: `over` its share it gets what would stay idle, `excluded` it gets nothing until
     * `returnMs` have passed.
     */
    getStanding(account: string, now: number): AccountStanding {
        const { usage } = this.#options;
        const excess = usage.getGranted(account, now) / this.#getShare(now);
        if (excess > MAX_EXCESS) {
            return { kind: "excluded", returnMs: usage.windowMs * Math.log(excess) };
        }
        return { kind: excess > 1 ? "over" : "within", returnMs: 0 };
    }

    #getShare(now: number): number {
        if (now >= this.#validUntil) {
            const rate = this.#options.getTokensPerSecond();
            this.#share = rate > 0
                ? this.#options.usage.computeShare(rate * KEPT_FACTOR, now)
                : Number.POSITIVE_INFINITY;
            this.#validUntil = now + VALIDITY_MS;
        }
        return this.#share;
    }
}

interface AccountStanding {
    readonly kind: "within" | "over" | "excluded";
    /** Time in milliseconds until the usage of an excluded account has fallen to its share. */
    readonly returnMs: number;
}
