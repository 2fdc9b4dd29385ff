import murmurhash from "murmurhash";
import type { EngineModel } from "../routing/engineModel.js";
import type { RoutedService } from "../routing/routedService.js";
import type { SchedulerSettings } from "../routing/schedulerSettings.js";
import type { TargetEligibility } from "../routing/targetEligibility.js";
import type { TargetState } from "../routing/targetState.js";
import { computeDataCentreLoads } from "./computeDataCentreLoads.js";
import { computeHeadroomShare } from "./computeHeadroomShare.js";
import { computeTargetFill } from "./computeTargetFill.js";
import type { DataCentreLoad } from "./dataCentreLoad.js";
import { ShortDataCentres } from "./shortDataCentres.js";
import type { SpillInputs } from "./spillInputs.js";
import type { SpillMember } from "./spillMember.js";
import { SpillWindow } from "./spillWindow.js";

interface SpillFlowsOptions {
    readonly inputs: SpillInputs;
    readonly settings: SchedulerSettings;
    readonly targets: ReadonlyMap<string, TargetState>;
    readonly eligibility: TargetEligibility;
    readonly engineModel: EngineModel;
    readonly getService: () => RoutedService;
}

/** The loads are summed this often; in between, the own grants are added. */
const REFRESH_MS = 20;
/** Time until all instances see a request: 150 ms to a delegate, the interval of the summaries (300 or 600 ms), and the way. */
const SAME_REGION_STEP_MS = 500;
const OTHER_REGION_STEP_MS = 850;
/** Part of a window that requests of accounts over their share may use, so that they do not keep others out. */
const OVER_SHARE_PART = 0.5;
const MAX_HASH = 2 ** 32;

/** Flows of the requests of one service from this instance to the other data centres. */
export class SpillFlows {
    readonly #options: SpillFlowsOptions;
    readonly #windows = new Map<string, SpillWindow>();
    readonly #short = ShortDataCentres.create();
    #loads: ReadonlyMap<string, DataCentreLoad> = new Map();
    #refreshAt = Number.NEGATIVE_INFINITY;
    /** Prompt tokens that an engine reads per millisecond; `undefined` for a plain service. */
    #prefillTokensPerMs: number | undefined;
    /** Prompt tokens at which the scheduler leaves an engine out; `undefined` for a plain service. */
    #maxPendingTokens: number | undefined;
    /** Work granted in each data centre since the loads were summed. */
    #granted = new Map<string, number>();
    /** Data centres whose load is known. */
    #known = new Set<string>();

    private constructor(options: SpillFlowsOptions) {
        this.#options = options;
    }

    /** Creates closed flows. */
    static create(options: SpillFlowsOptions): SpillFlows {
        return new SpillFlows(options);
    }

    /** Prompt tokens that an engine reads per millisecond; `undefined` for a plain service. */
    get prefillTokensPerMs(): number | undefined {
        return this.#prefillTokensPerMs;
    }

    /** Returns the load of a data centre; one whose load is not known counts as full. */
    getFill(dataCentre: string): number {
        return this.#known.has(dataCentre) ? this.#loads.get(dataCentre)?.fill ?? 1 : 1;
    }

    /** Returns whether requests leave for a data centre. */
    isActive(dataCentre: string, now: number): boolean {
        return this.#windows.get(dataCentre)?.isActive(now) ?? false;
    }

    /** Returns whether a request of `missingTokens` prompt tokens to read may leave for a target. */
    mayLeave(target: TargetState, missingTokens: number, isOverShare: boolean, now: number): boolean {
        const { dataCentre } = target.descriptor;
        const ownUse = (this.#loads.get(dataCentre)?.ownUse ?? 0) + (this.#granted.get(dataCentre) ?? 0);
        const work = this.#computeWork(target, missingTokens);
        return this.#windows.get(dataCentre)?.has(work, ownUse, isOverShare ? OVER_SHARE_PART : 1, now)
            ?? false;
    }

    /** Records a request that leaves for a target. */
    recordLeft(target: TargetState, missingTokens: number, now: number): void {
        const { dataCentre } = target.descriptor;
        const work = this.#computeWork(target, missingTokens);
        this.#granted.set(dataCentre, (this.#granted.get(dataCentre) ?? 0) + work);
        this.#windows.get(dataCentre)?.recordLeft(now);
    }

    /** Follows the reported loads. */
    update(now: number): void {
        if (now < this.#refreshAt) {
            return;
        }
        this.#refreshAt = now + REFRESH_MS;
        this.#granted = new Map();
        this.#updateEngine(now);
        const { targets, eligibility, inputs, settings } = this.#options;
        this.#loads = computeDataCentreLoads(targets.values(), {
            isOpen: target =>
                target.ejectedUntil <= now && !target.isCold(now)
                && eligibility.isOpen(target.descriptor, now),
            maxPendingTokens: this.#maxPendingTokens,
            now,
        });
        const members = inputs.listMembers() ?? [];
        const self = members.find(({ name }) => name === inputs.instance);
        const occupied = new Set(members.map(({ dataCentre }) => dataCentre));
        this.#short.update(occupied, this.#loads);
        this.#known = new Set();
        for (const [dataCentre, load] of this.#loads) {
            if (dataCentre !== settings.locality.dataCentre) {
                const isKnown = inputs.summaries.isCurrent(dataCentre, occupied.has(dataCentre), now);
                const isUsable = isKnown && load.targets > 0;
                this.#updateWindow(dataCentre, load, isUsable ? self : undefined, members, now);
            }
        }
        for (const dataCentre of this.#windows.keys()) {
            if (!this.#loads.has(dataCentre)) {
                this.#windows.delete(dataCentre);
            }
        }
    }

    #updateEngine(now: number): void {
        const { settings, engineModel, getService } = this.#options;
        const { engine, shortestObjectiveMs } = getService();
        this.#prefillTokensPerMs = engine && engineModel.getPrefillTokensPerMs(now);
        this.#maxPendingTokens = this.#prefillTokensPerMs
            && shortestObjectiveMs * settings.queueObjectiveShare * this.#prefillTokensPerMs;
    }

    #updateWindow(
        dataCentre: string,
        { headroom, ownUse }: DataCentreLoad,
        self: SpillMember | undefined,
        members: readonly SpillMember[],
        now: number,
    ): void {
        const { inputs, settings: { locality, regionsByDataCentre } } = this.#options;
        let window = this.#windows.get(dataCentre);
        if (!window) {
            window = SpillWindow.create(murmurhash.v3(`${inputs.instance}|${dataCentre}`) / MAX_HASH);
            this.#windows.set(dataCentre, window);
        }
        if (!self) {
            window.close();
            return;
        }
        this.#known.add(dataCentre);
        const share = computeHeadroomShare(dataCentre, self, members, this.#short.names);
        const isSameRegion = regionsByDataCentre.get(dataCentre) === locality.region;
        window.update(
            headroom * share,
            ownUse,
            isSameRegion ? SAME_REGION_STEP_MS : OTHER_REGION_STEP_MS,
            now,
        );
    }

    #computeWork({ descriptor }: TargetState, pendingTokens: number): number {
        return computeTargetFill(
            { inFlight: 1, pendingTokens },
            descriptor.slots,
            this.#maxPendingTokens,
        );
    }
}
