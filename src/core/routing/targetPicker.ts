import type { CapacityClass } from "../admission/capacityClass.js";
import type { SpillInputs } from "../spill/spillInputs.js";
import { SpillPlanner } from "../spill/spillPlanner.js";
import { pickNearBest } from "../targetSpeed/pickNearBest.js";
import type { CachedPrompt } from "./cachedPrompt.js";
import { CandidateBuilder } from "./candidateBuilder.js";
import { findSharedPrefix } from "./findSharedPrefix.js";
import { PromptAffinity } from "./promptAffinity.js";
import type { PromptLocations } from "./promptLocations.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetEligibility } from "./targetEligibility.js";
import type { TargetState } from "./targetState.js";
import type { WaitingRequest } from "./waitingRequest.js";

type CandidateBuilderOptions = Omit<Parameters<typeof CandidateBuilder.create>[0], "getSpillCosts">;

interface TargetPickerOptions extends CandidateBuilderOptions {
    /** Targets by identifier. */
    readonly targets: ReadonlyMap<string, TargetState>;
    readonly promptLocations: PromptLocations;
    readonly eligibility: TargetEligibility;
    /** Returns a random number from 0 to 1. */
    readonly getRandom: () => number;
    /** Absent if requests leave their data centre by the score alone. */
    readonly spill?: SpillInputs | undefined;
}

/** Shorter prefixes are read again in less time than it takes to report their location. */
const MIN_REPORTED_TOKENS = 256;

/** Picks the target with the lowest expected time to first event and penalties for a request. */
export class TargetPicker {
    readonly #options: TargetPickerOptions;
    readonly #affinity: PromptAffinity;
    readonly #builder: CandidateBuilder;
    readonly #planner: SpillPlanner | undefined;

    private constructor(options: TargetPickerOptions) {
        this.#options = options;
        this.#planner = options.spill && SpillPlanner.create({ ...options, inputs: options.spill });
        this.#builder = CandidateBuilder.create({ ...options, getSpillCosts: () => this.#spill?.costs });
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
     * @param capacity Capacity that the request may use, by the share of its account.
     */
    pick(
        waiting: Pick<WaitingRequest, "request" | "excludedTargets">,
        capacity: CapacityClass,
        now: number,
    ): TargetCandidate | undefined {
        const { speeds, getRandom } = this.#options;
        const compared = this.compareTargets(waiting, capacity, now);
        const candidates = [...compared.values()].filter(candidate => typeof candidate !== "string");
        const picked = speeds.isActive ? pickNearBest(candidates, getRandom) : findBest(candidates);
        const { request } = waiting;
        return picked && this.#spill
            ? this.#spill.describe(picked, compared, { request, isOverShare: capacity !== "any" }, now)
            : picked;
    }

    get #spill(): SpillPlanner | undefined {
        const { spill, speeds } = this.#options;
        return spill?.settings.needsReportedSpeeds === true && !speeds.isActive ? undefined : this.#planner;
    }

    /** Records that a picked target was granted. */
    recordGrant(candidate: TargetCandidate, now: number): void {
        this.#spill?.recordGrant(candidate, now);
    }

    /** Scores the targets that a request may use now, or tells why one has no capacity for it. Reserves nothing. */
    compareTargets(
        waiting: Pick<WaitingRequest, "request" | "excludedTargets">,
        capacity: CapacityClass,
        now: number,
    ): ReadonlyMap<TargetState, ReturnType<CandidateBuilder["build"]>> {
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
        // A request over the share of its account is not worth moving a shared part of a prompt or reading it again, unless
        // the part is short and a permit for the target would be lost.
        const eligible = capacity === "idle-cached" && cached.affinityTarget
            ? notExcluded.filter(target =>
                target === cached.affinityTarget || cached.cachingTargets.includes(target)
                || (cached.reportedPartId === undefined
                    && this.#options.limits.hasSpare(target.descriptor.id, now))
            )
            : notExcluded;
        this.#spill?.update(now);
        const candidates = new Map(
            eligible.map(target =>
                [target, this.#builder.build(target, waiting.request, cached, capacity, now)] as const
            ),
        );
        this.#spill?.limit(candidates, notExcluded, {
            request: waiting.request,
            isOverShare: capacity !== "any",
        }, now);
        return candidates;
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
}

function findBest(candidates: readonly TargetCandidate[]): TargetCandidate | undefined {
    let best: TargetCandidate | undefined;
    for (const candidate of candidates) {
        if (!best || candidate.score < best.score) {
            best = candidate;
        }
    }
    return best;
}
