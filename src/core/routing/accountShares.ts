import type { AdmissionPressure } from "../admission/admissionPressure.js";
import { CapacityEstimate } from "../admission/capacityEstimate.js";
import type { AccountUsage } from "./accountUsage.js";

interface AccountSharesOptions {
    readonly usage: AccountUsage;
    /** Tokens a second that all engines process together; 0 if unknown or if the service has no engines. */
    readonly getTokensPerSecond: () => number;
    /** Tells whether accounts within their share lack capacity. @default accounts over their share always yield */
    readonly pressure?: AdmissionPressure | undefined;
    /** Whether accounts over their share yield only while others lack capacity. @default never */
    readonly isWorkConserving?: () => boolean;
}

/** The configured rate assumes that every prompt token is read; engines process more, as about a third is cached. */
const CACHE_HIT_FACTOR = 1.4;
/** An account that was granted more than this many times its share, and still gets tokens faster than that, is refused. */
const MAX_SHARE_RATIO = 1.8;
/** Time for which a computed share is reused; it follows from sums over several seconds. */
const SHARE_VALIDITY_MS = 40;
const MS_PER_SECOND = 1000;

const UNLIMITED: Share = { tokens: Number.POSITIVE_INFINITY, capacityPerSecond: 0, isShort: false };

/** Compares the tokens granted to client accounts with their fair share. */
export class AccountShares {
    readonly #options: AccountSharesOptions;
    readonly #capacity = CapacityEstimate.create();
    #share = UNLIMITED;
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
     * `excluded`, it gets nothing until its usage has decayed, or its rate has fallen to its share; `surplus`, it is over its
     * share, but nobody within a share lacks capacity.
     */
    getStatus(account: string, now: number): FairShareStatus {
        return this.#compare(account, this.#update(now), now);
    }

    /** Returns what `getStatus` would, but leaves what it reuses as it is. */
    estimateStatus(account: string, now: number): FairShareStatus {
        return this.#compare(account, now >= this.#validUntil ? this.#compute(now) : this.#share, now);
    }

    /** Records a request of an account that was refused for want of capacity. */
    recordRefusal(account: string, tokens: number, now: number): void {
        this.#findPressure()?.recordRefusal(tokens, this.getStatus(account, now).shareRatio <= 1, now);
    }

    #compare(account: string, { tokens, isShort }: Share, now: number): FairShareStatus {
        const { usage } = this.#options;
        const shareRatio = usage.getGranted(account, now) / tokens;
        if (shareRatio <= 1) {
            return { kind: "within", shareRatio, returnMs: 0 };
        }
        const pressure = this.#findPressure();
        const mayExclude = !pressure || isShort || pressure.isContended(now);
        // What it used while others left capacity idle must not keep it from its share now.
        if (mayExclude && shareRatio > MAX_SHARE_RATIO && !usage.isWithinRate(account, tokens, now)) {
            return { kind: "excluded", shareRatio, returnMs: usage.windowMs * Math.log(shareRatio) };
        }
        return { kind: !pressure || isShort ? "over" : "surplus", shareRatio, returnMs: 0 };
    }

    #findPressure(): AdmissionPressure | undefined {
        const { pressure, isWorkConserving } = this.#options;
        return isWorkConserving?.() === true ? pressure : undefined;
    }

    #update(now: number): Share {
        if (now >= this.#validUntil) {
            this.#share = this.#compute(now);
            this.#validUntil = now + SHARE_VALIDITY_MS;
            this.#capacity.record(this.#share.capacityPerSecond, now);
            this.#findPressure()?.notify(this.#share.isShort, now);
        }
        return this.#share;
    }

    #compute(now: number): Share {
        const { usage, getTokensPerSecond } = this.#options;
        const rate = getTokensPerSecond();
        if (rate <= 0) {
            return UNLIMITED;
        }
        const statedPerSecond = rate * CACHE_HIT_FACTOR;
        const isShort = this.#findPressure()?.isShort(statedPerSecond, now);
        const capacityPerSecond = isShort === undefined
            ? statedPerSecond
            : this.#capacity.estimate(
                statedPerSecond,
                usage.sumGranted(now) / usage.windowMs * MS_PER_SECOND,
                isShort,
                now,
            );
        const tokens = usage.computeShare(capacityPerSecond, now);
        return { tokens, capacityPerSecond, isShort: isShort === true };
    }
}

/** Fair share of an account and what it follows from. */
interface Share {
    /** Tokens that an account may be granted over the window of the usage. */
    readonly tokens: number;
    readonly capacityPerSecond: number;
    /** Whether accounts within their share lack capacity. */
    readonly isShort: boolean;
}

interface FairShareStatus {
    readonly kind: "within" | "surplus" | "over" | "excluded";
    /** Tokens granted to the account, as a multiple of its share. */
    readonly shareRatio: number;
    /** Time in milliseconds until the usage of an excluded account has decayed to its share; 0 for other accounts. */
    readonly returnMs: number;
}
