import type { LimitGate } from "../limits/limitGate.js";
import type { EngineModel } from "./engineModel.js";
import { estimateFetch } from "./estimateFetch.js";
import { estimateTarget } from "./estimateTarget.js";
import { findSharedPrefix } from "./findSharedPrefix.js";
import { PromptAffinity } from "./promptAffinity.js";
import type { PromptLocations } from "./promptLocations.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RoutedService } from "./routedService.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetDescriptor } from "./targetDescriptor.js";
import type { TargetEligibility } from "./targetEligibility.js";
import type { TargetState } from "./targetState.js";
import type { WaitingRequest } from "./waitingRequest.js";

interface TargetPickerOptions {
    /** Targets by identifier. */
    readonly targets: ReadonlyMap<string, TargetState>;
    readonly settings: SchedulerSettings;
    readonly promptLocations: PromptLocations;
    readonly limits: LimitGate;
    readonly eligibility: TargetEligibility;
    readonly engineModel: EngineModel;
    readonly getService: () => RoutedService;
    /** Rate and burst at which this instance may send to a cold target; `undefined` if it must not. */
    readonly getColdShare: (target: TargetDescriptor, limitPerSecond: number) => TargetCandidate["coldShare"];
}

/** Targets that have the shared parts of a prompt cached. */
interface CachedPrompt {
    /** Last shared part, if the shared prefix is long enough to report its location to peers. */
    readonly reportedPartId?: string | undefined;
    /** Affinity target in the local region, or in a remote one if the local region has no usable target. */
    readonly affinityTarget?: TargetState | undefined;
    /** Affinity target in a remote region; absent if `affinityTarget` is remote. */
    readonly remoteAffinityTarget?: TargetState | undefined;
    /** Targets known to have read the parts recently. */
    readonly cachingTargets: readonly TargetState[];
}

/** Penalty in milliseconds of a target that fails all its requests, so that a faulty one is picked last. */
const FAILURE_PENALTY_MS = 2000;
/**
 * Penalties per shared token that a target lacks, beyond the time that it takes: moving it uses the links of the engines
 * and is billed, reading it again holds up the other requests of the engine and is billed several times as much.
 */
const MOVED_TOKEN_PENALTY_MS = 0.02;
const REREAD_TOKEN_PENALTY_MS = 0.06;
/** Shorter prefixes are read again in less time than it takes to report their location. */
const MIN_REPORTED_TOKENS = 256;

/** Picks the target with the lowest expected time to first event and penalties for a request. */
export class TargetPicker {
    readonly #options: TargetPickerOptions;
    readonly #affinity: PromptAffinity;

    private constructor(options: TargetPickerOptions) {
        this.#options = options;
        const { locality, regionsByDataCentre } = options.settings;
        this.#affinity = PromptAffinity.create(({ descriptor }) =>
            regionsByDataCentre.get(descriptor.dataCentre) === locality.region
        );
    }

    /** Creates a picker. */
    static create(options: TargetPickerOptions): TargetPicker {
        return new TargetPicker(options);
    }

    /**
     * Returns the best target with capacity, or `undefined`.
     *
     * @param isOverShare True if the account is over its share, so that only capacity is used that would stay idle.
     */
    pick(
        waiting: Pick<WaitingRequest, "request" | "excludedTargets">,
        isOverShare: boolean,
        now: number,
    ): TargetCandidate | undefined {
        const { targets, eligibility } = this.#options;
        const usable = [...targets.values()].filter(({ descriptor }) =>
            eligibility.isUsable(descriptor, waiting.request)
            && eligibility.getPausedUntil(descriptor) <= now
        );
        const notEjected = usable.filter(target => target.ejectedUntil <= now);
        const notExcluded = (notEjected.length > 0 ? notEjected : usable).filter(({ descriptor }) =>
            !waiting.excludedTargets.has(descriptor.id)
        );
        const cached = this.#findCached(waiting.request, notEjected, now);
        let best: TargetCandidate | undefined;
        // A request over the share of its account is not worth moving a shared part of a prompt or reading it again, unless
        // the part is short and a permit for the target would be lost.
        const eligible = isOverShare && cached.affinityTarget
            ? notExcluded.filter(target =>
                target === cached.affinityTarget || cached.cachingTargets.includes(target)
                || (cached.reportedPartId === undefined
                    && this.#options.limits.hasSpare(target.descriptor.id, now))
            )
            : notExcluded;
        for (const target of eligible) {
            const candidate = this.#buildCandidate(target, waiting.request, cached, isOverShare, now);
            if (candidate && (!best || candidate.score < best.score)) {
                best = candidate;
            }
        }
        return best;
    }

    #findCached(request: RoutedRequest, targets: readonly TargetState[], now: number): CachedPrompt {
        const prefix = findSharedPrefix(request.prompt);
        if (!prefix || !this.#options.getService().engine) {
            return { cachingTargets: [] };
        }
        const { promptLocations } = this.#options;
        return {
            reportedPartId: prefix.tokens >= MIN_REPORTED_TOKENS ? prefix.id : undefined,
            ...this.#affinity.find(prefix.id, targets),
            cachingTargets: promptLocations.hasAny(prefix.id, now)
                ? targets.filter(({ descriptor }) => promptLocations.has(prefix.id, descriptor.id, now))
                : [],
        };
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

    #buildCandidate(
        target: TargetState,
        request: RoutedRequest,
        cached: CachedPrompt,
        isOverShare: boolean,
        now: number,
    ): TargetCandidate | undefined {
        const { descriptor } = target;
        if (!this.#options.limits.isOpen(descriptor.id, now)) {
            return undefined;
        }
        const coldShare = this.#getColdShare(target, now);
        if (coldShare && !target.coldBucket.has(now, coldShare.perSecond, coldShare.burst)) {
            return undefined;
        }
        if (target.isCold(now) && !coldShare && this.#options.getService().coldRequestsPerSecond > 0) {
            return undefined;
        }
        const isCachingTarget = cached.cachingTargets.includes(target);
        const isAffinityTarget = target === cached.affinityTarget;
        const source = isCachingTarget ? undefined : this.#findSource(target, cached);
        const { engine } = this.#options.getService();
        const estimate = estimateTarget(target, request, {
            prefillTokensPerMs: engine && this.#options.engineModel.getPrefillTokensPerMs(now),
            sharedParts: describeSharedParts(
                isCachingTarget,
                isAffinityTarget,
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
        if (
            target.countInFlight(now) >= descriptor.slots
            || estimate.queueMs > this.#getMaxQueueMs(isOverShare)
        ) {
            return undefined;
        }
        const roundTripMs = this.#getRoundTripMs(descriptor, this.#options.settings.locality);
        return {
            target,
            coldShare,
            score: estimate.expectedMs * target.slowness + roundTripMs
                + target.getFailureShare(now) * FAILURE_PENALTY_MS
                + estimate.uncachedTokens
                    * (estimate.isFetching ? MOVED_TOKEN_PENALTY_MS : REREAD_TOKEN_PENALTY_MS),
            grant: {
                target,
                promptSource: estimate.isFetching ? source?.descriptor.address : undefined,
                sharedPartId: cached.reportedPartId,
                missingTokens: estimate.missingTokens,
                tokensAhead: estimate.tokensAhead,
                overheadMs: estimate.overheadMs + roundTripMs,
                expectedMs: estimate.expectedMs + roundTripMs,
                grantedAt: now,
            },
        };
    }

    #getMaxQueueMs(isOverShare: boolean): number {
        const { settings, getService } = this.#options;
        const { shortestObjectiveMs } = getService();
        return shortestObjectiveMs
            * (isOverShare ? settings.overShareObjectiveShare : settings.queueObjectiveShare);
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
