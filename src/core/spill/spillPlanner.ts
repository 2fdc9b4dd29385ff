import type { CandidateBuilder } from "../routing/candidateBuilder.js";
import type { RoutedRequest } from "../routing/routedRequest.js";
import type { TargetCandidate } from "../routing/targetCandidate.js";
import type { TargetState } from "../routing/targetState.js";
import { computeWaitCost } from "./computeWaitCost.js";
import { SpillCosts } from "./spillCosts.js";
import { SpillFlows } from "./spillFlows.js";

type SpillPlannerOptions = Parameters<typeof SpillFlows.create>[0];
type Comparison = ReturnType<CandidateBuilder["build"]>;
type Candidates = Map<TargetState, Comparison>;

interface ComparedRequest {
    readonly request: RoutedRequest;
    readonly isOverShare: boolean;
}

/** Part of the smallest gain that is enough while requests leave already, so that a flow does not alternate at the limit. */
const ACTIVE_GAIN_SHARE = 0.5;

/** Decides for each request of a service whether it pays to leave the data centre, and bounds how many do. */
export class SpillPlanner {
    readonly #options: SpillPlannerOptions;
    readonly #flows: SpillFlows;
    readonly costs: SpillCosts;

    private constructor(options: SpillPlannerOptions) {
        this.#options = options;
        this.#flows = SpillFlows.create(options);
        this.costs = SpillCosts.create({
            ...options,
            getFill: dataCentre => this.#flows.getFill(dataCentre),
            getPrefillTokensPerMs: () => this.#flows.prefillTokensPerMs,
        });
    }

    /** Creates a planner that lets nothing leave before it knows the loads. */
    static create(options: SpillPlannerOptions): SpillPlanner {
        return new SpillPlanner(options);
    }

    /** Follows the reported loads. */
    update(now: number): void {
        this.#flows.update(now);
    }

    /**
     * Leaves out the candidates in other data centres that gain too little or exceed the flow there, unless the own data
     * centre has no target that the request may use.
     *
     * @param usable Targets that the request may use, whether or not they have capacity now.
     */
    limit(
        candidates: Candidates,
        usable: readonly TargetState[],
        compared: ComparedRequest,
        now: number,
    ): void {
        if (usable.every(target => this.#isAway(target))) {
            return;
        }
        const { request, isOverShare } = compared;
        const stayMs = this.#computeStayMs(candidates.values(), compared, now);
        for (const [target, candidate] of candidates) {
            if (typeof candidate === "string" || !this.#isAway(target)) {
                continue;
            }
            if (stayMs - computeCost(candidate, request, now) < this.#getMinGainMs(target, now)) {
                candidates.set(target, "spill-gain");
            }
            else if (!this.#flows.mayLeave(target, candidate.grant.missingTokens, isOverShare, now)) {
                candidates.set(target, "spill-limit");
            }
        }
    }

    /** Adds to a picked candidate in another data centre what is recorded of it. */
    describe(
        picked: TargetCandidate,
        candidates: ReadonlyMap<TargetState, Comparison>,
        compared: ComparedRequest,
        now: number,
    ): TargetCandidate {
        const { target, grant } = picked;
        if (!this.#isAway(target)) {
            return picked;
        }
        const { dataCentre } = target.descriptor;
        const gainMs = [...candidates.keys()].some(other => !this.#isAway(other))
            ? this.#computeStayMs(candidates.values(), compared, now)
                - computeCost(picked, compared.request, now)
            : undefined;
        const spill = { dataCentre, isOtherRegion: this.costs.isOtherRegion(dataCentre), gainMs };
        return { ...picked, grant: { ...grant, spill } };
    }

    /** Records that a request leaves. */
    recordGrant({ target, grant }: TargetCandidate, now: number): void {
        if (grant.spill) {
            this.#flows.recordLeft(target, grant.missingTokens, now);
            this.#options.inputs.onLeft?.(this.#options.getService().name, grant.spill);
        }
    }

    #isAway({ descriptor }: TargetState): boolean {
        return descriptor.dataCentre !== this.#options.settings.locality.dataCentre;
    }

    #getMinGainMs({ descriptor }: TargetState, now: number): number {
        const { minGainMs } = this.#options.inputs.settings;
        return this.#flows.isActive(descriptor.dataCentre, now) ? minGainMs * ACTIVE_GAIN_SHARE : minGainMs;
    }

    /** Without a target of the data centre that has capacity, the wait is at least the queue that the scheduler allows. */
    #computeStayMs(
        candidates: Iterable<Comparison>,
        { request, isOverShare }: ComparedRequest,
        now: number,
    ): number {
        const { settings, getService } = this.#options;
        let stayMs = Number.POSITIVE_INFINITY;
        for (const candidate of candidates) {
            if (typeof candidate !== "string" && !this.#isAway(candidate.target)) {
                stayMs = Math.min(stayMs, computeCost(candidate, request, now));
            }
        }
        if (stayMs < Number.POSITIVE_INFINITY) {
            return stayMs;
        }
        const waitMs = getService().shortestObjectiveMs
            * (isOverShare ? settings.overShareObjectiveShare : settings.queueObjectiveShare);
        return computeWaitCost(request, waitMs, waitMs, now);
    }
}

function computeCost({ score, terms }: TargetCandidate, request: RoutedRequest, now: number): number {
    return computeWaitCost(request, score, terms.expectedMs + terms.networkMs, now);
}
