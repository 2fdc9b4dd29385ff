import type { AggregationTree } from "../../core/fairness/aggregationTree.js";
import { computeAggregationTree } from "../../core/fairness/computeAggregationTree.js";
import { computeFairnessLimits } from "../../core/fairness/computeFairnessLimits.js";
import { computeHorizonSlack } from "../../core/fairness/computeHorizonSlack.js";
import { horizonLimits } from "../../core/fairness/horizonLimits.js";
import type { LevelTrend } from "../../core/fairness/levelTrend.js";
import { observeLevel } from "../../core/fairness/observeLevel.js";
import type { ClusterView } from "../../core/membership/clusterView.js";

interface TreePosition {
    readonly view: ClusterView;
    /** Tree of the instances that are neither suspected nor leaving. */
    readonly reachable: AggregationTree;
    /** Tree of all listed instances that are not leaving. */
    readonly listed: AggregationTree;
    readonly limits: { readonly maxLag: number; readonly remoteLagThreshold: number; };
}

/**
 * An account that lags by more than this many times H requests slots of remote regions without delay. Accounts of
 * balanced regions stay within one H. Half of the configured gap bound, about 1,000,000 tokens, is too high a
 * threshold: no account lagged that far while one nearly alone in its region got four times the others' service.
 */
const REMOTE_LAG_HORIZONS = 2;

/** Position of this daemon in the aggregation tree, recomputed when the view of the fleet changes. */
export class AggregationPosition {
    readonly #instance: string;
    readonly #intervalMs: number;
    #position: TreePosition | undefined;
    #trend: LevelTrend | undefined;

    private constructor(instance: string, intervalMs: number) {
        this.#instance = instance;
        this.#intervalMs = intervalMs;
    }

    /** Creates the position of an instance; `intervalMs` is the time between two counter exchanges. */
    static create(instance: string, intervalMs: number): AggregationPosition {
        return new AggregationPosition(instance, intervalMs);
    }

    /** Returns the parent, or `undefined` for the root of the reachable instances. */
    getParent(view: ClusterView): string | undefined {
        const { reachable } = this.#getPosition(view);
        return view.leaving.has(this.#instance) ? reachable.root : reachable.parents.get(this.#instance);
    }

    /** True if this daemon is the root by the instance list, whether or not it reaches its peers. */
    isListedRoot(view: ClusterView): boolean {
        return this.#getPosition(view).listed.root === this.#instance;
    }

    /** True if another instance is a child of this daemon. */
    isParentOf(view: ClusterView, child: string): boolean {
        return this.#getPosition(view).reachable.parents.get(child) === this.#instance;
    }

    /** Records the lowest normalised service of backlogged accounts at a monotonic time in milliseconds. */
    observeLevel(lowest: number | undefined, now: number): void {
        this.#trend = observeLevel(this.#trend, lowest, now);
    }

    /** Returns the lag limits for the configuration in force. */
    getLimits(view: ClusterView): TreePosition["limits"] {
        const { maxLag, remoteLagThreshold } = this.#getPosition(view).limits;
        const threshold = REMOTE_LAG_HORIZONS * computeHorizonSlack(this.#trend);
        return { maxLag, remoteLagThreshold: Math.min(remoteLagThreshold, threshold) };
    }

    #getPosition(view: ClusterView): TreePosition {
        if (this.#position?.view === view) {
            return this.#position;
        }
        const { instances } = view.instances;
        const getRegion = (name: string): string | undefined => view.index?.dataCentres.get(name)?.region;
        const excluded = new Set([...view.suspected, ...view.leaving]);
        if (!view.leaving.has(this.#instance)) {
            excluded.delete(this.#instance);
        }
        const listed = computeAggregationTree(instances, getRegion, view.leaving);
        this.#position = {
            view,
            reachable: computeAggregationTree(instances, getRegion, excluded),
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
        return this.#position;
    }
}
