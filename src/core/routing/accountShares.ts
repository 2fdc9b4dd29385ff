import type { AccountUsage } from "./accountUsage.js";

interface AccountSharesOptions {
    readonly usage: AccountUsage;
    /** Tokens a second that all engines process together; 0 if unknown or if the service has no engines. */
    readonly getTokensPerSecond: () => number;
}

/** The configured rate assumes that every prompt token is read; engines process more, as about a third is cached. */
const CACHE_HIT_FACTOR = 1.4;
/** An account that was granted more than this many times its share, and still gets tokens faster than that, is refused. */
const MAX_SHARE_RATIO = 1.8;
/** Time for which a computed share is reused; it follows from sums over several seconds. */
const SHARE_VALIDITY_MS = 40;

/** Compares the tokens granted to client accounts with their fair share. */
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
     * Returns the fair-share status of an account. `over` its share, it only gets capacity that would stay idle;
     * `excluded`, it gets nothing until its usage has decayed, or its rate has fallen to its share.
     */
    getStatus(account: string, now: number): FairShareStatus {
        return this.#compare(account, this.#getShare(now), now);
    }

    /** Returns what `getStatus` would, but leaves the share that it reuses as it is. */
    estimateStatus(account: string, now: number): FairShareStatus {
        const share = now >= this.#validUntil ? this.#computeShare(now) : this.#share;
        return this.#compare(account, share, now);
    }

    #compare(account: string, share: number, now: number): FairShareStatus {
        const { usage } = this.#options;
        const shareRatio = usage.getGranted(account, now) / share;
        if (shareRatio <= 1) {
            return { kind: "within", shareRatio, returnMs: 0 };
        }
        // What it used while others left capacity idle must not keep it from its share now.
        return shareRatio > MAX_SHARE_RATIO && !usage.isWithinRate(account, share, now)
            ? { kind: "excluded", shareRatio, returnMs: usage.windowMs * Math.log(shareRatio) }
            : { kind: "over", shareRatio, returnMs: 0 };
    }

    #getShare(now: number): number {
        if (now >= this.#validUntil) {
            this.#share = this.#computeShare(now);
            this.#validUntil = now + SHARE_VALIDITY_MS;
        }
        return this.#share;
    }

    #computeShare(now: number): number {
        const rate = this.#options.getTokensPerSecond();
        return rate > 0
            ? this.#options.usage.computeShare(rate * CACHE_HIT_FACTOR, now)
            : Number.POSITIVE_INFINITY;
    }
}

interface FairShareStatus {
    readonly kind: "within" | "over" | "excluded";
    /** Tokens granted to the account, as a multiple of its share. */
    readonly shareRatio: number;
    /** Time in milliseconds until the usage of an excluded account has decayed to its share; 0 for other accounts. */
    readonly returnMs: number;
}
