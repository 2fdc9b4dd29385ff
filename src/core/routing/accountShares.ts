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

/** Compares the tokens granted to client accounts with their fair share. */
export class AccountShares {
    readonly #options: AccountSharesOptions;
    readonly #capacity = CapacityEstimate.create();
    #isShort = false;
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
     * `excluded`, it gets nothing until its usage has decayed, or its rate has fallen to its share; `surplus`, it is over its
     * share, but nobody within a share lacks capacity.
     */
    getStatus(account: string, now: number): FairShareStatus {
        const { usage, pressure, isWorkConserving } = this.#options;
        const share = this.#getShare(now);
        const shareRatio = usage.getGranted(account, now) / share;
        if (shareRatio <= 1) {
            return { kind: "within", shareRatio, returnMs: 0 };
        }
        const isExcess = shareRatio > MAX_SHARE_RATIO && !usage.isWithinRate(account, share, now);
        if (pressure && isWorkConserving?.() === true) {
            return this.#getContendedStatus(pressure, isExcess, shareRatio, now);
        }
        // What it used while others left capacity idle must not keep it from its share now.
        return isExcess
            ? { kind: "excluded", shareRatio, returnMs: usage.windowMs * Math.log(shareRatio) }
            : { kind: "over", shareRatio, returnMs: 0 };
    }

    /** Records a request of an account that was refused for want of capacity. */
    recordRefusal(account: string, tokens: number, now: number): void {
        const { pressure, isWorkConserving } = this.#options;
        if (pressure && isWorkConserving?.() === true) {
            pressure.recordRefusal(tokens, this.getStatus(account, now).shareRatio <= 1, now);
        }
    }

    #getContendedStatus(
        pressure: AdmissionPressure,
        isExcess: boolean,
        shareRatio: number,
        now: number,
    ): FairShareStatus {
        const { windowMs } = this.#options.usage;
        if (isExcess && (this.#isShort || pressure.isContended(now))) {
            return { kind: "excluded", shareRatio, returnMs: windowMs * Math.log(shareRatio) };
        }
        return { kind: this.#isShort ? "over" : "surplus", shareRatio, returnMs: 0 };
    }

    #getShare(now: number): number {
        if (now >= this.#validUntil) {
            const rate = this.#options.getTokensPerSecond();
            this.#share = rate > 0
                ? this.#options.usage.computeShare(this.#getCapacity(rate * CACHE_HIT_FACTOR, now), now)
                : Number.POSITIVE_INFINITY;
            this.#validUntil = now + SHARE_VALIDITY_MS;
        }
        return this.#share;
    }

    #getCapacity(statedPerSecond: number, now: number): number {
        const { usage, pressure, isWorkConserving } = this.#options;
        if (!pressure || isWorkConserving?.() !== true) {
            return statedPerSecond;
        }
        this.#isShort = pressure.isShort(statedPerSecond, now);
        return this.#capacity.update(
            statedPerSecond,
            usage.sumGranted(now) / usage.windowMs * MS_PER_SECOND,
            this.#isShort,
            now,
        );
    }
}

interface FairShareStatus {
    readonly kind: "within" | "surplus" | "over" | "excluded";
    /** Tokens granted to the account, as a multiple of its share. */
    readonly shareRatio: number;
    /** Time in milliseconds until the usage of an excluded account has decayed to its share; 0 for other accounts. */
    readonly returnMs: number;
}
