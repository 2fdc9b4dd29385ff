import type { LoadStatement } from "./loadStatement.js";
import { OwnSamples } from "./ownSamples.js";
import { PeerSpeeds } from "./peerSpeeds.js";
import type { SpeedObservation } from "./speedObservation.js";

/** Bounds of the ratio of measured to expected time, as logarithms. */
const MIN_LOG_RATIO = Math.log(0.2);
const MAX_LOG_RATIO = Math.log(10);
/**
 * Variance of the logarithms of the speeds of one service's targets, which lie within a factor of 2: (ln 2)² / 12. With 0.12,
 * simulated instances took queues that no report shows yet for slow targets.
 */
const TARGET_VARIANCE = 0.04;
/** A stated ratio is valid for about half a second; what is left of its effect falls as a square, a quarter is left then. */
const STATEMENT_DECAY_MS = 1000;
/** Own observations that are older are not shared, as peers would ignore them. */
const SHARED_AGE_MS = 2000;
const MIN_SHARED_WEIGHT = 0.5;
/** Evidence, in samples, from which a speed counts as known. */
const MIN_KNOWN_WEIGHT = 1;

/**
 * Learns how long requests take at one target relative to the expected time (2 if twice as long), from the responses to this
 * instance, from what the target states, and from the observations of peers. Times are monotonic milliseconds.
 */
export class TargetSpeed {
    readonly #own = OwnSamples.create();
    readonly #peers = PeerSpeeds.create();
    readonly #startedAt: number;
    #namesRatio: boolean | undefined;
    #logStated: number | undefined;
    #statedAt = 0;
    #observedAt = Number.NEGATIVE_INFINITY;

    private constructor(startedAt: number) {
        this.#startedAt = startedAt;
    }

    /** Creates the speed of a target that is known from `startedAt` on; earlier observations are of another process. */
    static create(startedAt: number): TargetSpeed {
        return new TargetSpeed(startedAt);
    }

    /** Whether the target states how long its work takes; `undefined` if it has not answered and peers told nothing of it. */
    get namesRatio(): boolean | undefined {
        return this.#namesRatio;
    }

    /** Records what the target states in a response; `undefined` if it states nothing, which takes nothing back. */
    recordLoad(load: LoadStatement | undefined, now: number): void {
        if (!load) {
            this.#namesRatio ??= false;
            return;
        }
        const { workTimeRatio } = load;
        this.#namesRatio = workTimeRatio !== undefined;
        this.#logStated = workTimeRatio === undefined ? undefined : Math.log(workTimeRatio);
        this.#statedAt = now;
        this.#observedAt = now;
    }

    /** Records the time that a request took, and what it was expected to take. */
    recordSample(measuredMs: number, expectedMs: number, now: number): void {
        const logRatio = limit(Math.log(Math.max(1, measuredMs) / Math.max(1, expectedMs)));
        this.#own.add(logRatio, {
            expectedLogRatio: this.#getLogRatio(now),
            logStated: this.#getStated(now),
            shrinkage: this.#getShrinkage(this.#own.getWeight(now)),
        }, now);
        this.#observedAt = now;
    }

    /** Adopts the observation of a peer, which only instances share whose targets state how long their work takes. */
    adopt(observation: SpeedObservation, now: number): void {
        if (observation.observedAt < this.#startedAt) {
            return;
        }
        this.#namesRatio ??= true;
        const logRatio = limit(observation.logRatio);
        this.#peers.add({ logRatio, observedAt: Math.min(now, observation.observedAt) }, now);
    }

    /** Returns the ratio of the time that a request takes at the target to the expected time. */
    getTimeRatio(now: number): number {
        return Math.exp(this.#getLogRatio(now));
    }

    /** Returns the standard deviation of the logarithm of the learned ratio. */
    getUncertainty(now: number): number {
        const weight = this.#own.getWeight(now) + this.#peers.getWeight(now);
        return Math.sqrt(this.#own.variance / (weight + this.#own.variance / TARGET_VARIANCE));
    }

    /** Returns whether there is evidence on the speed of the target. */
    isKnown(now: number): boolean {
        return this.#own.getWeight(now) + this.#peers.getWeight(now) >= MIN_KNOWN_WEIGHT;
    }

    /**
     * Returns what this instance has observed itself lately. Peers average the observations of several instances, so it holds
     * neither those of others, which would come back to them, nor the assumption that targets are equally fast.
     */
    getOwnObservation(now: number): SpeedObservation | undefined {
        if (now - this.#observedAt >= SHARED_AGE_MS || this.#own.getWeight(now) < MIN_SHARED_WEIGHT) {
            return undefined;
        }
        const { logRatio, logStated, trust } = this.#own;
        const deviation = this.#getStated(this.#observedAt) - logStated;
        return { logRatio: limit(logRatio + trust * deviation), observedAt: this.#observedAt };
    }

    /** Returns the newest observation of this instance or of a peer. */
    getNewestObservation(now: number): SpeedObservation | undefined {
        const own = this.getOwnObservation(now);
        const peer = this.#peers.getNewest(now);
        return own && peer ? (own.observedAt >= peer.observedAt ? own : peer) : own ?? peer;
    }

    #getLogRatio(now: number): number {
        const ownWeight = this.#own.getWeight(now);
        const peerWeight = this.#peers.getWeight(now);
        const weight = ownWeight + peerWeight;
        const sum = ownWeight * this.#own.logRatio + this.#peers.getWeightedLogRatio(now);
        const learned = weight > 0 ? sum / weight * this.#getShrinkage(weight) : 0;
        const freshness = this.#getFreshness(now);
        // The observations of peers already tell how long work takes at the moment; without samples the statement cannot be
        // put in relation to them.
        if (
            this.#logStated === undefined || freshness === 0
            || (peerWeight > 0 && ownWeight < MIN_SHARED_WEIGHT)
        ) {
            return limit(learned);
        }
        const shrinkage = this.#getShrinkage(ownWeight);
        const momentary = shrinkage * this.#own.logRatio
            + this.#own.trust * (this.#logStated - shrinkage * this.#own.logStated);
        return limit(learned + (momentary - learned) * freshness);
    }

    /** Returns the logarithm of the stated ratio, which decays to its mean. */
    #getStated(now: number): number {
        const { logStated } = this.#own;
        return logStated + ((this.#logStated ?? logStated) - logStated) * this.#getFreshness(now);
    }

    /** Part by which a mean counts against the assumption that the target is as fast as others, from 0 to 1. */
    #getShrinkage(weight: number): number {
        return weight / (weight + this.#own.variance / TARGET_VARIANCE);
    }

    #getFreshness(now: number): number {
        return Math.max(0, 1 - Math.max(0, now - this.#statedAt) / STATEMENT_DECAY_MS) ** 2;
    }
}

function limit(logRatio: number): number {
    return Math.min(MAX_LOG_RATIO, Math.max(MIN_LOG_RATIO, logRatio));
}
