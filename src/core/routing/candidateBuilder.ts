import type { CapacityClass } from "../admission/capacityClass.js";
import type { LimitGate } from "../limits/limitGate.js";
import type { SpillCosts } from "../spill/spillCosts.js";
import type { ServiceSpeeds } from "../targetSpeed/serviceSpeeds.js";
import type { CachedPrompt } from "./cachedPrompt.js";
import type { EngineModel } from "./engineModel.js";
import { estimateFetch } from "./estimateFetch.js";
import { estimateTarget } from "./estimateTarget.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RoutedService } from "./routedService.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { ScoreTerms } from "./scoreTerms.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetDescriptor } from "./targetDescriptor.js";
import type { TargetState } from "./targetState.js";

interface CandidateBuilderOptions {
    readonly settings: SchedulerSettings;
    readonly limits: LimitGate;
    readonly engineModel: EngineModel;
    readonly speeds: ServiceSpeeds;
    readonly getService: () => RoutedService;
    /** Rate and burst at which this instance may send to a cold target; `undefined` if it must not. */
    readonly getColdShare: (target: TargetDescriptor, limitPerSecond: number) => TargetCandidate["coldShare"];
    /** Prices the use of other data centres; `undefined` if it costs nothing beyond the round trip. */
    readonly getSpillCosts: () => SpillCosts | undefined;
}

/** Why a target that a request may use gets none now. */
type LeftOutReason =
    | "request-limit"
    | "cold-limit"
    | "slots-taken"
    | "queue-full"
    /** Shared parts would be read again for an account beyond its share. */
    | "prompt-not-cached"
    /** In another data centre: the flow there is at its bound, or the gain is too small. */
    | "spill-limit"
    | "spill-gain";

/** Accounts beyond their share leave the rest of the slots to others, whose requests may arrive before the next report. */
const IDLE_SLOT_SHARE = 0.75;
/** Shared tokens that are read again for an account beyond its share; more would take time from the others at the target. */
const MAX_REREAD_TOKENS = 256;
/** Penalty in milliseconds of a target that fails all its requests, so that a faulty one is picked last. */
const FAILURE_PENALTY_MS = 2000;
/**
 * Penalties per shared token that a target lacks, beyond the time that it takes: moving it uses the links of the engines
 * and is billed, reading it again holds up the other requests of the engine and is billed several times as much.
 */
const MOVED_TOKEN_PENALTY_MS = 0.02;
const REREAD_TOKEN_PENALTY_MS = 0.06;

/** Scores a target for a request, or tells why the target has no capacity for it. Reserves nothing. */
export class CandidateBuilder {
    readonly #options: CandidateBuilderOptions;

    private constructor(options: CandidateBuilderOptions) {
        this.#options = options;
    }

    /** Creates a builder. */
    static create(options: CandidateBuilderOptions): CandidateBuilder {
        return new CandidateBuilder(options);
    }

    /** @param capacity Capacity that the request may use, by the share of its account. */
    build(
        target: TargetState,
        request: RoutedRequest,
        cached: CachedPrompt,
        capacity: CapacityClass,
        now: number,
    ): TargetCandidate | LeftOutReason {
        const { descriptor } = target;
        if (!this.#options.limits.isOpen(descriptor.id, now)) {
            return "request-limit";
        }
        const coldShare = this.#getColdShare(target, now);
        if (coldShare && !target.coldBucket.has(now, coldShare.perSecond, coldShare.burst)) {
            return "cold-limit";
        }
        if (target.isCold(now) && !coldShare && this.#options.getService().coldRequestsPerSecond > 0) {
            return "cold-limit";
        }
        const source = this.#findAffordableSource(target, cached, now);
        const estimate = this.#estimate(target, request, cached, source, now);
        if (target.countInFlight(now) >= descriptor.slots * (capacity === "idle" ? IDLE_SLOT_SHARE : 1)) {
            return "slots-taken";
        }
        if (capacity === "idle" && !estimate.isFetching && estimate.uncachedTokens > MAX_REREAD_TOKENS) {
            return "prompt-not-cached";
        }
        const timeRatio = target.getTimeRatio(now);
        // Without reported speeds, the length of a queue is compared as if all targets were equally fast.
        const queueMs = estimate.queueMs * (this.#options.speeds.isActive ? timeRatio : 1);
        if (queueMs > this.#getMaxQueueMs(capacity)) {
            return "queue-full";
        }
        const networkMs = this.#getRoundTripMs(descriptor, this.#options.settings.locality);
        const terms: ScoreTerms = {
            expectedMs: estimate.expectedMs * timeRatio,
            networkMs,
            failureMs: target.getFailureShare(now) * FAILURE_PENALTY_MS,
            cacheMs: estimate.uncachedTokens
                * (estimate.isFetching ? MOVED_TOKEN_PENALTY_MS : REREAD_TOKEN_PENALTY_MS),
            spillMs:
                this.#options.getSpillCosts()?.computeMs(request, descriptor, source?.descriptor, estimate)
                    ?? 0,
        };
        return {
            target,
            coldShare,
            terms,
            score: terms.expectedMs + terms.networkMs + terms.failureMs + terms.cacheMs + terms.spillMs,
            grant: {
                target,
                promptSource: estimate.isFetching ? source?.descriptor.address : undefined,
                sharedPartId: cached.reportedPartId,
                missingTokens: estimate.missingTokens,
                tokensAhead: estimate.tokensAhead,
                networkMs,
                timeRatio,
                overheadMs: estimate.overheadMs + networkMs,
                expectedMs: estimate.expectedMs + networkMs,
                grantedAt: now,
            },
        };
    }

    /** Returns the source of the shared parts, unless the link from there costs more than reading them again. */
    #findAffordableSource(
        target: TargetState,
        cached: CachedPrompt,
        now: number,
    ): TargetState | undefined {
        const { getSpillCosts, engineModel } = this.#options;
        const spillCosts = getSpillCosts();
        const source = cached.cachingTargets.includes(target) ? undefined : this.#findSource(target, cached);
        if (!source || !spillCosts) {
            return source;
        }
        // The price is per token, so that the sum over any number of tokens compares alike.
        const moveMs = spillCosts.computeMoveMs(1, source.descriptor, target.descriptor);
        const rereadMs = REREAD_TOKEN_PENALTY_MS - MOVED_TOKEN_PENALTY_MS
            + 1 / engineModel.getPrefillTokensPerMs(now);
        return moveMs <= rereadMs ? source : undefined;
    }

    #estimate(
        target: TargetState,
        request: RoutedRequest,
        cached: CachedPrompt,
        source: TargetState | undefined,
        now: number,
    ): ReturnType<typeof estimateTarget> {
        const { engine } = this.#options.getService();
        return estimateTarget(target, request, {
            plainWorkMs: this.#options.speeds.plainWorkMs,
            prefillTokensPerMs: engine && this.#options.engineModel.getPrefillTokensPerMs(now),
            sharedParts: describeSharedParts(
                cached.cachingTargets.includes(target),
                target === cached.affinityTarget,
                cached.cachingTargets.length > 0,
            ),
            estimateFetchMs: engine && source
                ? tokens =>
                    estimateFetch(engine, tokens, {
                        roundTripMs: this.#getRoundTripMs(target.descriptor, source.descriptor),
                        isSameDataCentre: target.descriptor.dataCentre === source.descriptor.dataCentre,
                    })
                : undefined,
            now,
        });
    }

    /** Finds another target from which a target can fetch the shared parts, the nearest first; only one that lacks them is asked. */
    #findSource(
        target: TargetState,
        cached: CachedPrompt,
    ): TargetState | undefined {
        const { settings: { regionsByDataCentre }, limits } = this.#options;
        // A fetch is a request at its source, too.
        const isSource = (other: TargetState | undefined): boolean =>
            other !== undefined && !limits.isLimited(other.descriptor.id);
        const cachingTargets = cached.cachingTargets.filter(isSource);
        const [affinityTarget, remoteAffinityTarget] = [cached.affinityTarget, cached.remoteAffinityTarget]
            .map(other => isSource(other) ? other : undefined);
        const { dataCentre } = target.descriptor;
        const region = regionsByDataCentre.get(dataCentre);
        return cachingTargets.find(({ descriptor }) => descriptor.dataCentre === dataCentre)
            ?? cachingTargets.find(({ descriptor }) =>
                regionsByDataCentre.get(descriptor.dataCentre) === region
            )
            ?? cachingTargets[0]
            ?? (target === affinityTarget ? remoteAffinityTarget : affinityTarget);
    }

    #getMaxQueueMs(capacity: CapacityClass): number {
        const { settings, getService } = this.#options;
        const { shortestObjectiveMs } = getService();
        return shortestObjectiveMs
            * (capacity !== "any" ? settings.overShareObjectiveShare : settings.queueObjectiveShare);
    }

    #getColdShare(target: TargetState, now: number): TargetCandidate["coldShare"] {
        const { settings, getColdShare } = this.#options;
        if (!target.isCold(now) || this.#options.getService().coldRequestsPerSecond <= 0) {
            return undefined;
        }
        return getColdShare(
            target.descriptor,
            this.#options.getService().coldRequestsPerSecond * settings.coldFactor + settings.coldSlack,
        );
    }

    /** Returns the network round-trip time between two places in milliseconds. */
    #getRoundTripMs(from: { readonly dataCentre: string; }, to: { readonly dataCentre: string; }): number {
        const { regionsByDataCentre, dataCentreDelayMs, regionDelayMs } = this.#options.settings;
        if (from.dataCentre === to.dataCentre) {
            return 0;
        }
        const isSameRegion =
            regionsByDataCentre.get(from.dataCentre) === regionsByDataCentre.get(to.dataCentre);
        return 2 * (isSameRegion ? dataCentreDelayMs : regionDelayMs);
    }
}

/** Without reports, the affinity target is the best guess: all instances of the region send the parts there. */
function describeSharedParts(
    isCachingTarget: boolean,
    isAffinityTarget: boolean,
    hasReports: boolean,
): "cached" | "uncached" | "unknown" {
    if (isCachingTarget || (isAffinityTarget && !hasReports)) {
        return "cached";
    }
    return hasReports ? "uncached" : "unknown";
}
