import type { LimitGate } from "../limits/limitGate.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { TargetDescriptor } from "./targetDescriptor.js";
import type { TargetNotices } from "./targetNotices.js";
import type { TargetOutlook } from "./targetOutlook.js";
import type { TargetState } from "./targetState.js";
import type { WaitingRequest } from "./waitingRequest.js";

interface TargetEligibilityOptions {
    /** Targets by identifier. */
    readonly targets: ReadonlyMap<string, TargetState>;
    readonly settings: SchedulerSettings;
    readonly limits: LimitGate;
    readonly notices: TargetNotices;
    /** Evacuated data centres, which get no requests. */
    readonly getEvacuated: () => ReadonlySet<string>;
    /** Whether a new stream that may be taken up later may begin at a target. */
    readonly mayBegin: (target: TargetDescriptor) => boolean;
    /** Whether a stream may go on at a target that is listed with its version. */
    readonly mayGoOn: (target: TargetDescriptor) => boolean;
}

type ExclusionReason =
    | "version-differs"
    | "restarted"
    | "draining"
    | "leaving"
    | "region-not-allowed"
    | "evacuated"
    | "version-new";

/** Decides which targets of a service a request may use, whatever their load. */
export class TargetEligibility {
    readonly #options: TargetEligibilityOptions;

    private constructor(options: TargetEligibilityOptions) {
        this.#options = options;
    }

    /** Creates the rules for the targets of a service. */
    static create(options: TargetEligibilityOptions): TargetEligibility {
        return new TargetEligibility(options);
    }

    /** Returns what a request may expect that was given no target. */
    findOutlook(
        { request, excludedTargets }: Pick<WaitingRequest, "request" | "excludedTargets">,
        now: number,
    ): TargetOutlook {
        const { targets, notices } = this.#options;
        let until = Number.POSITIVE_INFINITY;
        for (const { descriptor } of targets.values()) {
            if (excludedTargets.has(descriptor.id) || this.#findLastingExclusion(descriptor, request)) {
                continue;
            }
            const pausedUntil = notices.getPausedUntil(descriptor);
            if (pausedUntil <= now) {
                return { kind: "open" };
            }
            until = Math.min(until, pausedUntil);
        }
        return Number.isFinite(until) ? { kind: "paused", until } : { kind: "none" };
    }

    /** Returns whether all targets that a request may use have a request limit. */
    hasOnlyLimited(request: RoutedRequest): boolean {
        const { targets, limits } = this.#options;
        return [...targets.values()].every(({ descriptor }) =>
            limits.isLimited(descriptor.id) || !this.isUsable(descriptor, request)
        );
    }

    /**
     * Returns whether a target may get a request at all: it stays, has the version of a stream that goes on, and its data
     * centre and region are allowed.
     */
    isUsable(descriptor: TargetDescriptor, request: RoutedRequest): boolean {
        return this.findExclusion(descriptor, request) === undefined;
    }

    /** Returns why a target may get no request, in the words of `explain route`; `undefined` if it may get it. */
    findExclusion(descriptor: TargetDescriptor, request: RoutedRequest): ExclusionReason | undefined {
        const lasting = this.#findLastingExclusion(descriptor, request);
        if (lasting !== undefined) {
            return lasting;
        }
        if (this.#options.getEvacuated().has(descriptor.dataCentre)) {
            return "evacuated";
        }
        const isNewStream = request.route.isResumable && request.origin === undefined;
        return isNewStream && !this.#options.mayBegin(descriptor) ? "version-new" : undefined;
    }

    /** The same without what may end at any moment: an evacuation, or the time in which a version gets no new streams. */
    #findLastingExclusion(descriptor: TargetDescriptor, request: RoutedRequest): ExclusionReason | undefined {
        if (!hasVersion(descriptor, request)) {
            return "version-differs";
        }
        if (request.origin !== undefined && !this.#options.mayGoOn(descriptor)) {
            return "restarted";
        }
        if (descriptor.isDraining) {
            return "draining";
        }
        if (this.#options.notices.isLeaving(descriptor)) {
            return "leaving";
        }
        const region = this.#options.settings.regionsByDataCentre.get(descriptor.dataCentre) ?? "";
        const isAllowed = request.regions.length === 0 || request.regions.includes(region);
        return isAllowed ? undefined : "region-not-allowed";
    }

    /** Returns whether a target takes requests of some kind now, as far as it and its data centre have said. */
    isOpen(descriptor: TargetDescriptor, now: number): boolean {
        return !descriptor.isDraining
            && !this.#options.notices.isLeaving(descriptor)
            && !this.#options.getEvacuated().has(descriptor.dataCentre)
            && this.getPausedUntil(descriptor) <= now;
    }

    /** Returns the monotonic time in milliseconds until which a target wants no requests of this instance. */
    getPausedUntil(descriptor: TargetDescriptor): number {
        return this.#options.notices.getPausedUntil(descriptor);
    }
}

/** Targets without a version may have different ones, so that nothing goes on at them. */
function hasVersion({ version }: TargetDescriptor, { origin }: RoutedRequest): boolean {
    return origin === undefined || (version !== undefined && version === origin.version);
}
