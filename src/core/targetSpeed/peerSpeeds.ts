import type { SpeedObservation } from "./speedObservation.js";

/** Observations of peers that are older do not count. */
const MAX_AGE_MS = 2000;
/** Newest observations that are kept of each target; more would hardly change their mean. */
const MAX_KEPT = 6;
/** The same observation arrives through several peers, with ages that differ by the time for which it was under way. */
const SAME_WITHIN_MS = 100;

/** Newest observations that peers have reported of one target. */
export class PeerSpeeds {
    #observations: readonly SpeedObservation[] = [];
    #weight = 0;
    #weightedLogRatio = 0;
    /** Monotonic time in milliseconds of the sums; `undefined` if the observations have changed since. */
    #summedAt: number | undefined;

    /** Creates an empty list. */
    static create(): PeerSpeeds {
        return new PeerSpeeds();
    }

    /** Adds an observation, unless it is known, too old, or older than all that are kept. */
    add(added: SpeedObservation, now: number): void {
        const isKnown = this.#observations.some(({ logRatio, observedAt }) =>
            logRatio === added.logRatio && Math.abs(observedAt - added.observedAt) < SAME_WITHIN_MS
        );
        if (isKnown || now - added.observedAt >= MAX_AGE_MS) {
            return;
        }
        this.#summedAt = undefined;
        this.#observations = [...this.#observations, added]
            .filter(({ observedAt }) => now - observedAt < MAX_AGE_MS)
            .sort((a, b) => b.observedAt - a.observedAt)
            .slice(0, MAX_KEPT);
    }

    /** Returns the newest observation that still counts. */
    getNewest(now: number): SpeedObservation | undefined {
        const [newest] = this.#observations;
        return newest && now - newest.observedAt < MAX_AGE_MS ? newest : undefined;
    }

    /**
     * Returns the sum of the weights of the observations, each of which falls from 1 to 0 at the age at which it no longer
     * counts.
     */
    getWeight(now: number): number {
        this.#sum(now);
        return this.#weight;
    }

    /** Returns the sum of the observed logarithms of ratios with these weights. */
    getWeightedLogRatio(now: number): number {
        this.#sum(now);
        return this.#weightedLogRatio;
    }

    /** Each decision reads both sums for each target, so they are computed once for a time, without allocation. */
    #sum(now: number): void {
        if (now === this.#summedAt) {
            return;
        }
        this.#summedAt = now;
        this.#weight = 0;
        this.#weightedLogRatio = 0;
        for (const { logRatio, observedAt } of this.#observations) {
            const weight = Math.min(1, Math.max(0, 1 - (now - observedAt) / MAX_AGE_MS));
            this.#weight += weight;
            this.#weightedLogRatio += weight * logRatio;
        }
    }
}
