import { TargetActivity } from "../silence/targetActivity.js";
import type { LoadStatement } from "../targetSpeed/loadStatement.js";
import { ServiceSpeeds } from "../targetSpeed/serviceSpeeds.js";
import type { SpeedObservation } from "../targetSpeed/speedObservation.js";
import { TargetSpeed } from "../targetSpeed/targetSpeed.js";
import { DecayingSum } from "./decayingSum.js";
import { LongTimeEstimate } from "./longTimeEstimate.js";
import type { PeerLoad } from "./peerLoad.js";
import { PeerLoads } from "./peerLoads.js";
import { PromptCache } from "./promptCache.js";
import { RateBucket } from "./rateBucket.js";
import type { TargetDescriptor } from "./targetDescriptor.js";
import type { TargetGrant } from "./targetGrant.js";

/** Consecutive failures after which a target is ejected. */
const FAILURES_TO_EJECT = 3;
/** First and longest ejection of a failing target; the time doubles with each further failure. */
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4000;
/** Time constant of the failure share. */
const HEALTH_WINDOW_MS = 4000;
/** Weight of the newest sample in the moving average of the slowness. */
const SLOWNESS_WEIGHT = 0.1;
const MAX_SLOWNESS = 10;
/** Responses that usually take the same time get this multiple of it before their target counts as silent. */
const MIN_RESPONSE_RATIO = 1.5;
/** Share of an engine's memory that one instance assumes to be filled by its own prompts. */
const CACHE_SHARE = 0.5;
const DEFAULT_CACHE_TOKENS = 100_000;

/** State of one target as seen by this instance: local load, load of peers, health and cached prompts. */
export class TargetState {
    readonly cache: PromptCache;
    readonly coldBucket: RateBucket;
    readonly speed: TargetSpeed;
    readonly #serviceSpeeds: ServiceSpeeds;
    readonly activity = TargetActivity.create();
    descriptor: TargetDescriptor;
    inFlight = 0;
    pendingTokens = 0;
    /** Moving average of the ratio of measured to expected time to first event, at least 1. */
    slowness = 1;
    ejectedUntil = 0;
    /** Monotonic time in milliseconds until which the target counts as cold, whatever its registration says. */
    presumedColdUntil = 0;
    readonly #peers = PeerLoads.create();
    readonly #failures = DecayingSum.create(HEALTH_WINDOW_MS);
    readonly #results = DecayingSum.create(HEALTH_WINDOW_MS);
    #consecutiveFailures = 0;
    readonly #pauses = LongTimeEstimate.create(1);
    readonly #responseTimes = LongTimeEstimate.create(MIN_RESPONSE_RATIO);

    private constructor(
        descriptor: TargetDescriptor,
        memoryTokens: number,
        now: number,
        serviceSpeeds: ServiceSpeeds,
    ) {
        this.descriptor = descriptor;
        this.speed = TargetSpeed.create(now);
        this.#serviceSpeeds = serviceSpeeds;
        this.cache = PromptCache.create(memoryTokens);
        this.coldBucket = RateBucket.create(1, now);
    }

    /** Creates the state of a target that got no requests yet. */
    static create(
        descriptor: TargetDescriptor,
        memoryTokens: number | undefined,
        now: number,
        serviceSpeeds = ServiceSpeeds.create(new Map()),
    ): TargetState {
        const cacheTokens = (memoryTokens ?? DEFAULT_CACHE_TOKENS) * CACHE_SHARE;
        return new TargetState(descriptor, cacheTokens, now, serviceSpeeds);
    }

    /** Returns whether the target may only get requests at the rate that a cold one tolerates. */
    isCold(now: number): boolean {
        return now < Math.max(this.descriptor.coldUntil, this.presumedColdUntil);
    }

    /** Replaces the load from a peer, or from a remote data centre as a whole; `undefined` removes it. */
    setPeerLoad(peer: string, load: PeerLoad | undefined): void {
        this.#peers.set(peer, load);
    }

    /** Returns the load from the given peers. */
    sumPeerLoads(peers: readonly string[], now: number): PeerLoad {
        return this.#peers.sumOf(peers, now);
    }

    /** Returns the requests in flight at the target, including those of peers. */
    countInFlight(now: number): number {
        return this.#peers.sum(now).inFlight + this.inFlight;
    }

    /** Returns the prompt tokens that the target has not finished reading, including those of peers. */
    countPendingTokens(now: number): number {
        return this.#peers.sum(now).pendingTokens + this.pendingTokens;
    }

    /** Returns the share of recent requests that failed, from 0 to 1. */
    getFailureShare(now: number): number {
        return this.#failures.get(now) / Math.max(1, this.#results.get(now));
    }

    /** Records a response, or a failure of the target or of its connection; consecutive failures eject the target. */
    recordResult(isSuccess: boolean, now: number): void {
        this.#results.add(1, now);
        if (isSuccess) {
            this.#consecutiveFailures = 0;
            this.ejectedUntil = 0;
            return;
        }
        this.#failures.add(1, now);
        this.#consecutiveFailures += 1;
        const excess = this.#consecutiveFailures - FAILURES_TO_EJECT;
        if (excess >= 0) {
            this.ejectedUntil = now + Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** excess);
        }
    }

    /** Records the longest pause between the events of a complete response, in milliseconds. */
    recordPause(pauseMs: number): void {
        this.#pauses.add(pauseMs);
    }

    /** Returns a pause in milliseconds that sound responses of the target rarely exceed; 0 if none is known. */
    getLongPauseMs(): number {
        return this.#pauses.get();
    }

    /** Records the longest silence of a complete response that is not a stream, in milliseconds. */
    recordResponseTime(ms: number): void {
        this.#responseTimes.add(ms);
    }

    /** Returns a silence in milliseconds that such responses of the target rarely exceed; 0 if none is known. */
    getLongResponseMs(): number {
        return this.#responseTimes.get();
    }

    /** Records what the target states of its load in a response; `undefined` if it states nothing. */
    recordLoad(load: LoadStatement | undefined, now: number): void {
        this.#updateSpeed(() => this.speed.recordLoad(load, now));
    }

    /** Adopts the speed that a peer has observed. */
    adoptSpeed(observation: SpeedObservation, now: number): void {
        this.#updateSpeed(() => this.speed.adopt(observation, now));
    }

    /** Returns by how much longer than expected a request takes at the target, as a ratio. */
    getTimeRatio(now: number): number {
        return this.#serviceSpeeds.isActive ? this.speed.getTimeRatio(now) : this.slowness;
    }

    /** Updates slowness and speed from the time from a grant to the first event. */
    recordFirstEvent(measuredMs: number, grant: TargetGrant, now: number): void {
        const sample = Math.min(MAX_SLOWNESS, Math.max(1, measuredMs / Math.max(1, grant.expectedMs)));
        this.slowness += (sample - this.slowness) * SLOWNESS_WEIGHT;
        if (grant.tokensAhead > 0) {
            const { networkMs, expectedMs } = grant;
            this.speed.recordSample(measuredMs - networkMs, expectedMs - networkMs, now);
        }
        else {
            this.#recordPlainWork(measuredMs, grant, now);
        }
    }

    /** Updates the speed from the time from a grant to a response that is no stream; an engine's depends on its length. */
    recordResponse(measuredMs: number, grant: TargetGrant, now: number): void {
        if (grant.tokensAhead === 0) {
            this.#recordPlainWork(measuredMs, grant, now);
        }
    }

    #recordPlainWork(
        measuredMs: number,
        { networkMs, overheadMs, expectedMs }: TargetGrant,
        now: number,
    ): void {
        const workMs = measuredMs - networkMs;
        // The overhead of a plain service is the work time that was usual when the target was granted.
        const queueFactor = (expectedMs - networkMs) / (overheadMs - networkMs);
        this.#serviceSpeeds.recordPlainWork(workMs / queueFactor);
        if (this.#serviceSpeeds.isActive) {
            this.speed.recordSample(workMs, this.#serviceSpeeds.plainWorkMs * queueFactor, now);
        }
    }

    #updateSpeed(update: () => void): void {
        const { namesRatio } = this.speed;
        update();
        if (this.speed.namesRatio !== namesRatio) {
            this.#serviceSpeeds.update();
        }
    }
}
