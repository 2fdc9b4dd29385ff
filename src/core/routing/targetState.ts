import { DecayingSum } from "./decayingSum.js";
import type { PeerLoad } from "./peerLoad.js";
import { PeerLoads } from "./peerLoads.js";
import { PromptCache } from "./promptCache.js";
import { RateBucket } from "./rateBucket.js";
import type { TargetEntry } from "./targetEntry.js";

/** Failures in a row after which a target rests. */
const FAILURES_TO_EJECT = 3;
/** First and longest rest of a failing target; the rest doubles with each failure. */
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4000;
/** Failures and answers weigh in the failure share for about this time. */
const HEALTH_WINDOW_MS = 4000;
/** Weight of the newest sample in the moving average of the slowness. */
const SLOWNESS_WEIGHT = 0.1;
const MAX_SLOWNESS = 10;
/** Part of an engine's memory that one instance assumes to be filled by its own prompts. */
const CACHE_SHARE = 0.5;
const DEFAULT_CACHE_TOKENS = 100_000;

/** What one instance knows about one target: its own load, that of its peers, health and cached prompts. */
export class TargetState {
    readonly cache: PromptCache;
    readonly coldBucket: RateBucket;
    entry: TargetEntry;
    inFlight = 0;
    pendingTokens = 0;
    /** Ratio of the measured to the expected time to the first event. */
    slowness = 1;
    ejectedUntil = 0;
    /** Monotonic time in milliseconds until which the target is treated as cold whatever it says. */
    presumedColdUntil = 0;
    readonly #peers = PeerLoads.create();
    readonly #failures = DecayingSum.create(HEALTH_WINDOW_MS);
    readonly #results = DecayingSum.create(HEALTH_WINDOW_MS);
    #failuresInRow = 0;

    private constructor(entry: TargetEntry, memoryTokens: number, now: number) {
        this.entry = entry;
        this.cache = PromptCache.create(memoryTokens);
        this.coldBucket = RateBucket.create(1, now);
    }

    /** Creates the state of a target that nothing was sent to. */
    static create(entry: TargetEntry, memoryTokens: number | undefined, now: number): TargetState {
        return new TargetState(entry, (memoryTokens ?? DEFAULT_CACHE_TOKENS) * CACHE_SHARE, now);
    }

    /** Returns whether the target must only get the requests that a cold one bears. */
    isCold(now: number): boolean {
        return now < Math.max(this.entry.coldUntil, this.presumedColdUntil);
    }

    /** Stores what a peer, or all instances of another data centre, have sent to the target; `undefined` if nothing. */
    setPeerLoad(peer: string, load: PeerLoad | undefined): void {
        this.#peers.set(peer, load);
    }

    /** Sums what some peers have sent to the target. */
    sumPeerLoads(peers: readonly string[], now: number): PeerLoad {
        return this.#peers.sumOf(peers, now);
    }

    /** Requests in flight at the target, those of peers included. */
    countInFlight(now: number): number {
        return this.#peers.sum(now).inFlight + this.inFlight;
    }

    /** Prompt tokens that the target has not finished reading, those of peers included. */
    countPendingTokens(now: number): number {
        return this.#peers.sum(now).pendingTokens + this.pendingTokens;
    }

    /** Share of recent requests that failed, from 0 to 1. */
    getFailureShare(now: number): number {
        return this.#failures.get(now) / Math.max(1, this.#results.get(now));
    }

    /** Records an answer, or a failure of the target or of the way to it; several failures in a row make it rest. */
    recordResult(isSuccess: boolean, now: number): void {
        this.#results.add(1, now);
        if (isSuccess) {
            this.#failuresInRow = 0;
            this.ejectedUntil = 0;
            return;
        }
        this.#failures.add(1, now);
        this.#failuresInRow += 1;
        const excess = this.#failuresInRow - FAILURES_TO_EJECT;
        if (excess >= 0) {
            this.ejectedUntil = now + Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** excess);
        }
    }

    /** Compares a measured time to the first event with the expected one. */
    recordFirstEvent(measuredMs: number, expectedMs: number): void {
        const sample = Math.min(MAX_SLOWNESS, Math.max(1, measuredMs / Math.max(1, expectedMs)));
        this.slowness += (sample - this.slowness) * SLOWNESS_WEIGHT;
    }
}
