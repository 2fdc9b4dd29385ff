import type { estimateTarget } from "../routing/estimateTarget.js";
import type { RoutedRequest } from "../routing/routedRequest.js";
import type { RoutedService } from "../routing/routedService.js";
import type { SchedulerSettings } from "../routing/schedulerSettings.js";
import type { TargetDescriptor } from "../routing/targetDescriptor.js";
import { computeDisplacementMs } from "./computeDisplacementMs.js";
import { LinkPrices } from "./linkPrices.js";
import type { SpillInputs } from "./spillInputs.js";

interface SpillCostsOptions {
    readonly inputs: Pick<SpillInputs, "settings" | "responseSizes">;
    readonly settings: Pick<SchedulerSettings, "locality" | "regionsByDataCentre">;
    readonly getService: () => RoutedService;
    /** Load of a data centre, from 0 to 1 and above. */
    readonly getFill: (dataCentre: string) => number;
    /** Prompt tokens that an engine reads per millisecond; `undefined` for a plain service. */
    readonly getPrefillTokensPerMs: () => number | undefined;
}

type Estimate = Pick<
    ReturnType<typeof estimateTarget>,
    "missingTokens" | "uncachedTokens" | "isFetching" | "overheadMs"
>;

/** Prices what it costs others that a target serves a request of this data centre. */
export class SpillCosts {
    readonly #options: SpillCostsOptions;
    readonly #prices: LinkPrices;

    private constructor(options: SpillCostsOptions) {
        this.#options = options;
        this.#prices = LinkPrices.create(options.inputs.settings, options.settings.regionsByDataCentre);
    }

    /** Creates the costs of a service. */
    static create(options: SpillCostsOptions): SpillCosts {
        return new SpillCosts(options);
    }

    /** Returns whether a target is in another region than this instance. */
    isOtherRegion(dataCentre: string): boolean {
        return this.#prices.isOtherRegion(this.#options.settings.locality.dataCentre, dataCentre);
    }

    /** Computes what it costs to move shared prompt tokens over the link between their source and a target. */
    computeMoveMs(tokens: number, source: TargetDescriptor | undefined, target: TargetDescriptor): number {
        const { engine } = this.#options.getService();
        return engine && source
            ? this.#prices.computeMs(tokens * engine.tokenBytes, source.dataCentre, target.dataCentre)
            : 0;
    }

    /**
     * Computes the equivalent in milliseconds of the caller's wait: bytes of the request, its response and moved prompt parts,
     * and the wait of the callers that it displaces in another data centre.
     */
    computeMs(
        request: RoutedRequest,
        target: TargetDescriptor,
        source: TargetDescriptor | undefined,
        estimate: Estimate,
    ): number {
        const { inputs: { responseSizes }, settings: { locality }, getFill, getPrefillTokensPerMs } =
            this.#options;
        const moveMs = estimate.isFetching ? this.computeMoveMs(estimate.uncachedTokens, source, target) : 0;
        if (target.dataCentre === locality.dataCentre) {
            return moveMs;
        }
        const bytes = (request.bodyBytes ?? 0) + responseSizes.estimate(request.route.name);
        const prefillTokensPerMs = getPrefillTokensPerMs();
        const workMs = prefillTokensPerMs === undefined
            ? estimate.overheadMs / Math.max(1, target.slots)
            : estimate.missingTokens / prefillTokensPerMs;
        return moveMs
            + this.#prices.computeMs(bytes, locality.dataCentre, target.dataCentre)
            + computeDisplacementMs(workMs, getFill(target.dataCentre));
    }
}
