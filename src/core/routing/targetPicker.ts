import { estimateTarget } from "./estimateTarget.js";
import { findSharedPart } from "./findSharedPart.js";
import type { PromptHolders } from "./promptHolders.js";
import { PromptHomes } from "./promptHomes.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RoutedService } from "./routedService.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetEntry } from "./targetEntry.js";
import type { TargetState } from "./targetState.js";
import type { WaitingRequest } from "./waitingRequest.js";

interface TargetPickerOptions {
    /** Targets by identifier. */
    readonly targets: ReadonlyMap<string, TargetState>;
    readonly settings: SchedulerSettings;
    readonly holders: PromptHolders;
    readonly getService: () => RoutedService;
    /** Evacuated data centres, which get no requests. */
    readonly getEvacuated: () => ReadonlySet<string>;
    /** Rate and burst at which this instance may send to a cold target; `undefined` if it must not. */
    readonly getColdShare: (entry: TargetEntry, limitPerSecond: number) => TargetCandidate["coldShare"];
}

/** Targets that have the shared parts of a prompt cached. */
interface KeptPrompt {
    /** Last shared part, if the shared prefix is long enough to report its location to peers. */
    readonly reportedPartId?: string | undefined;
    /** Affinity target of this region. */
    readonly home?: TargetState | undefined;
    /** Affinity target of a remote region. */
    readonly remote?: TargetState | undefined;
    /** Targets known to have read the parts recently. */
    readonly holders: readonly TargetState[];
}

/** Penalty in milliseconds of a target that fails all its requests, so that a faulty one is picked last. */
const FAILURE_COST_MS = 2000;
/**
 * Penalty of a target other than the affinity target of a prompt: a constant, and one per shared token that has to be
 * moved there. Reading a shared part again is billed, and moving it takes about as long as reading it.
 */
const MOVE_COST_MS = 80;
const MOVE_COST_MS_PER_TOKEN = 0.05;
/** Shorter prefixes are read again in less time than it takes to report their location. */
const MIN_REPORTED_TOKENS = 256;

/** Picks the target with the lowest expected time to first event and penalties for a request. */
export class TargetPicker {
    readonly #options: TargetPickerOptions;
    readonly #homes: PromptHomes;

    private constructor(options: TargetPickerOptions) {
        this.#options = options;
        const { place, regions } = options.settings;
        this.#homes = PromptHomes.create(({ entry }) => regions.get(entry.dataCentre) === place.region);
    }

    /** Creates a picker. */
    static create(options: TargetPickerOptions): TargetPicker {
        return new TargetPicker(options);
    }

    /** Returns the best target with capacity, or `undefined`. */
    pick(waiting: WaitingRequest, isOverShare: boolean, now: number): TargetCandidate | undefined {
        const { settings } = this.#options;
        const maxQueueMs = isOverShare ? settings.overShareQueueMs : settings.engineQueueMs;
        const usable = [...this.#options.targets.values()].filter(({ entry }) =>
            this.#isUsable(entry, waiting.request)
        );
        const rested = usable.filter(target => target.ejectedUntil <= now);
        const fresh = (rested.length > 0 ? rested : usable).filter(({ entry }) =>
            !waiting.avoided.has(entry.id)
        );
        const kept = this.#findKept(waiting.request, rested, now);
        let best: TargetCandidate | undefined;
        // A request over the share of its account is not worth reading a shared part of a prompt again.
        const eligible = isOverShare && kept.home
            ? fresh.filter(target => target === kept.home || kept.holders.includes(target))
            : fresh;
        for (const target of eligible) {
            const candidate = this.#buildCandidate(target, waiting.request, kept, maxQueueMs, now);
            if (candidate && (!best || candidate.score < best.score)) {
                best = candidate;
            }
        }
        return best;
    }

    #isUsable(entry: TargetEntry, request: RoutedRequest): boolean {
        const region = this.#options.settings.regions.get(entry.dataCentre) ?? "";
        return !entry.isDraining && !this.#options.getEvacuated().has(entry.dataCentre)
            && (request.regions.length === 0 || request.regions.includes(region));
    }

    #findKept(request: RoutedRequest, targets: readonly TargetState[], now: number): KeptPrompt {
        const shared = findSharedPart(request.prompt);
        if (!shared || !this.#options.getService().engine) {
            return { holders: [] };
        }
        const { holders } = this.#options;
        return {
            reportedPartId: shared.tokens >= MIN_REPORTED_TOKENS ? shared.id : undefined,
            ...this.#homes.find(shared.id, targets),
            holders: holders.isKnown(shared.id, now)
                ? targets.filter(({ entry }) => holders.has(shared.id, entry.id, now))
                : [],
        };
    }

    /** Finds another target from which a target can fetch the shared parts, preferably in the same region. */
    #findSource(target: TargetState, { home, remote, holders }: KeptPrompt): TargetState | undefined {
        const { regions } = this.#options.settings;
        const region = regions.get(target.entry.dataCentre);
        const others = holders.filter(holder => holder !== target);
        return others.find(({ entry }) => regions.get(entry.dataCentre) === region)
            ?? others[0]
            ?? (target === home ? remote : home);
    }

    #buildCandidate(
        target: TargetState,
        request: RoutedRequest,
        kept: KeptPrompt,
        maxQueueMs: number,
        now: number,
    ): TargetCandidate | undefined {
        const { settings } = this.#options;
        const { entry } = target;
        const coldShare = this.#getColdShare(target, now);
        if (coldShare && !target.coldBucket.has(now, coldShare.perSecond, coldShare.burst)) {
            return undefined;
        }
        if (target.isCold(now) && !coldShare && this.#options.getService().coldRequestsPerSecond > 0) {
            return undefined;
        }
        const isEngine = this.#options.getService().engine !== undefined;
        const isHome = target === kept.home;
        // Without reports, the affinity target is the best guess: all instances of the region send the parts there.
        const keepsShared = kept.holders.length > 0 ? kept.holders.includes(target) : isHome;
        const source = kept.holders.includes(target) ? undefined : this.#findSource(target, kept);
        const estimate = estimateTarget(
            target,
            request,
            { isEngine, keepsShared, canFetch: source !== undefined, now },
            settings,
        );
        if (target.countInFlight(now) >= entry.slots || estimate.queueMs > maxQueueMs) {
            return undefined;
        }
        return {
            target,
            coldShare,
            score: estimate.expectedMs * target.slowness + this.#getDistanceMs(entry)
                + target.getFailureShare(now) * FAILURE_COST_MS
                + (source && !isHome ? MOVE_COST_MS : 0) + estimate.movedTokens * MOVE_COST_MS_PER_TOKEN,
            grant: {
                target,
                promptSource: source?.entry.address,
                sharedPartId: kept.reportedPartId,
                missingTokens: estimate.missingTokens,
                expectedMs: estimate.expectedMs,
                grantedAt: now,
            },
        };
    }

    #getColdShare(target: TargetState, now: number): TargetCandidate["coldShare"] {
        const { settings, getColdShare } = this.#options;
        if (!target.isCold(now) || this.#options.getService().coldRequestsPerSecond <= 0) {
            return undefined;
        }
        return getColdShare(
            target.entry,
            this.#options.getService().coldRequestsPerSecond * settings.coldFactor + settings.coldSlack,
        );
    }

    /** Returns the network round-trip time to the target in milliseconds. */
    #getDistanceMs(entry: TargetEntry): number {
        const { place, regions, dataCentreDelayMs, regionDelayMs } = this.#options.settings;
        if (entry.dataCentre === place.dataCentre) {
            return 0;
        }
        return 2 * (regions.get(entry.dataCentre) === place.region ? dataCentreDelayMs : regionDelayMs);
    }
}
