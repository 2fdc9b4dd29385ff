import type { AggregationTree } from "../../core/fairness/aggregationTree.js";
import { computeAggregationTree } from "../../core/fairness/computeAggregationTree.js";
import { computeFairnessLimits } from "../../core/fairness/computeFairnessLimits.js";
import { horizonLimits } from "../../core/fairness/horizonLimits.js";
import type { ClusterView } from "../../core/membership/clusterView.js";

interface Place {
    readonly view: ClusterView;
    /** Tree without suspected and leaving instances. */
    readonly reachable: AggregationTree;
    /** Tree without leaving instances only. */
    readonly listed: AggregationTree;
    readonly limits: { readonly maxLag: number; readonly remoteLagThreshold: number; };
}

/** Place of this daemon in the aggregation tree, recomputed when the view of the fleet changes. */
export class AggregationPlace {
    readonly #instance: string;
    readonly #intervalMs: number;
    #place: Place | undefined;

    private constructor(instance: string, intervalMs: number) {
        this.#instance = instance;
        this.#intervalMs = intervalMs;
    }

    /** Creates the place of an instance. */
    static create(instance: string, intervalMs: number): AggregationPlace {
        return new AggregationPlace(instance, intervalMs);
    }

    /** Returns the parent, or `undefined` for the root of the reachable instances. */
    getParent(view: ClusterView): string | undefined {
        const { reachable } = this.#getPlace(view);
        return view.leaving.has(this.#instance) ? reachable.root : reachable.parents.get(this.#instance);
    }

    /** True if the instance list names this daemon as root, whether or not it reaches the others. */
    isListedRoot(view: ClusterView): boolean {
        return this.#getPlace(view).listed.root === this.#instance;
    }

    /** True if another instance is a child of this daemon. */
    isParentOf(view: ClusterView, child: string): boolean {
        return this.#getPlace(view).reachable.parents.get(child) === this.#instance;
    }

    /** Returns the lag limits for the configuration in force. */
    getLimits(view: ClusterView): Place["limits"] {
        return this.#getPlace(view).limits;
    }

    #getPlace(view: ClusterView): Place {
        if (this.#place?.view === view) {
            return this.#place;
        }
        const { instances } = view.instances;
        const getRegion = (name: string): string | undefined => view.index?.dataCentres.get(name)?.region;
        const skipped = new Set([...view.suspected, ...view.leaving]);
        if (!view.leaving.has(this.#instance)) {
            skipped.delete(this.#instance);
        }
        const listed = computeAggregationTree(instances, getRegion, view.leaving);
        this.#place = {
            view,
            reachable: computeAggregationTree(instances, getRegion, skipped),
            listed,
            limits: view.index
                ? computeFairnessLimits({
                    configuration: view.index.configuration,
                    depth: listed.depth,
                    exchangeIntervalMs: this.#intervalMs,
                    horizon: horizonLimits.max,
                })
                : { maxLag: Number.POSITIVE_INFINITY, remoteLagThreshold: Number.POSITIVE_INFINITY },
        };
        return this.#place;
    }
}
