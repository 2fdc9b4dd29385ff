/** Samples have lost half of their weight after this time; an engine gets a request of one instance every 10 s or so. */
const FORGETTING_MS = 30_000;
/** Bounds the weight of a target with many samples, so that a lasting change shows within as many samples. */
const MAX_WEIGHT = 20;
/** A sample counts at most as a deviation by this factor: one stalled response says little of the target. */
const MAX_DEVIATION = Math.log(3);
/** Variance of a single sample, as a logarithm, until samples show it: the expected time is off by a factor of 1.5. */
const PRIOR_VARIANCE = 0.16;
const MIN_VARIANCE = 0.01;
const VARIANCE_WEIGHT = 0.1;
/** Squared deviation of stated ratios by which the assumption counts that they are true. */
const TRUST_PRIOR = 0.25;
/** Part of earlier evidence on the truth of stated ratios that is kept with each sample. */
const TRUST_KEPT = 0.9;

/**
 * Own samples of one target: logarithms of measured over expected time, each with the logarithm of the ratio that the target
 * stated then. The slope of the one over the other (linear regression) tells how far the statements are true.
 */
export class OwnSamples {
    #weight = 0;
    #logRatio = 0;
    #logStated = 0;
    #variance = PRIOR_VARIANCE;
    #covariance = TRUST_PRIOR;
    #statedVariance = TRUST_PRIOR;
    #updatedAt = 0;

    /** Creates a record without samples. */
    static create(): OwnSamples {
        return new OwnSamples();
    }

    /** Variance of a single sample. */
    get variance(): number {
        return this.#variance;
    }

    /** Mean of the logarithms of measured over expected time. */
    get logRatio(): number {
        return this.#logRatio;
    }

    /** Mean of the logarithms of the stated ratios that belong to the samples. */
    get logStated(): number {
        return this.#logStated;
    }

    /** Part of a change in the stated ratio that shows in the measured time: 1 if statements are true, 0 if they are not. */
    get trust(): number {
        const trust = this.#covariance / this.#statedVariance;
        return Math.min(1, Math.max(0, trust));
    }

    /** Returns the number of samples, less with age. */
    getWeight(now: number): number {
        // Hyperbolic, as each decision computes it for each target, and an exponential takes several times as long.
        return this.#weight * FORGETTING_MS / (FORGETTING_MS + Math.max(0, now - this.#updatedAt));
    }

    /**
     * Adds a sample.
     *
     * @param expectedLogRatio What was expected of it.
     * @param logStated Logarithm of the ratio that the target stated with it; 0 if it stated none.
     * @param shrinkage Part, from 0 to 1, by which the means count against the assumption that both ratios are 1.
     */
    add(
        logRatio: number,
        { expectedLogRatio, logStated, shrinkage }: {
            readonly expectedLogRatio: number;
            readonly logStated: number;
            readonly shrinkage: number;
        },
        now: number,
    ): void {
        const weight = Math.min(MAX_WEIGHT - 1, this.getWeight(now));
        const deviation = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, logRatio - expectedLogRatio));
        const bounded = expectedLogRatio + deviation;
        const statedDeviation = logStated - shrinkage * this.#logStated;
        const ratioDeviation = bounded - shrinkage * this.#logRatio;
        this.#covariance = keepTrust(this.#covariance) + statedDeviation * ratioDeviation;
        this.#statedVariance = keepTrust(this.#statedVariance) + statedDeviation ** 2;
        const variance = this.#variance + (deviation ** 2 - this.#variance) * VARIANCE_WEIGHT;
        this.#variance = Math.max(MIN_VARIANCE, variance);
        this.#weight = weight + 1;
        this.#logRatio += (bounded - this.#logRatio) / this.#weight;
        this.#logStated += (logStated - this.#logStated) / this.#weight;
        this.#updatedAt = now;
    }
}

function keepTrust(sum: number): number {
    return TRUST_PRIOR + (sum - TRUST_PRIOR) * TRUST_KEPT;
}
