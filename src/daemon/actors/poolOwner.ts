import { fetchLoad } from "../../adapters/target/fetchLoad.js";
import { OwnerClosingError } from "../../core/errors/ownerClosingError.js";
import { listTargetStatus } from "../../core/explain/listTargetStatus.js";
import { horizonLimits } from "../../core/fairness/horizonLimits.js";
import { buildPoolKey } from "../../core/lease/buildPoolKey.js";
import { defaultLeaseTimings } from "../../core/lease/defaultLeaseTimings.js";
import { pickLowestService } from "../../core/lease/pickLowestService.js";
import type { PoolLedger } from "../../core/lease/poolLedger.js";
import { sumUnusedSlots } from "../../core/lease/sumUnusedSlots.js";
import type { DemandReport__Output } from "../../transport/generated/baobabspread/peer/DemandReport.js";
import type { LeaseState } from "../../transport/generated/baobabspread/peer/LeaseState.js";
import type { DaemonContext } from "../daemonContext.js";
import { OwnedPool } from "./ownedPool.js";
import type { PoolOwnerOptions } from "./poolOwnerOptions.js";

const DEFAULT_OPTIONS: PoolOwnerOptions = {
    policy: {
        timings: defaultLeaseTimings,
        horizonSlack: horizonLimits.min,
        maxUnusedSlots: 2,
        pickNeediest: pickLowestService,
    },
    fetchLoad,
    borrowIntervalMs: 500,
    loadIntervalMs: 250,
    idleMs: 10_000,
};

/** Leases the slots of the pools that this daemon owns. */
export class PoolOwner {
    readonly #context: DaemonContext;
    readonly #options: PoolOwnerOptions;
    readonly #pools = new Map<string, OwnedPool>();
    /** Last sequence of closed pools by key; entries ignore lower ones, also after the pool is taken over again. */
    readonly #closedSequences = new Map<string, number>();
    #takeoverCount = 0;
    #isClosing = false;

    private constructor(context: DaemonContext, options: PoolOwnerOptions) {
        this.#context = context;
        this.#options = options;
        context.metrics.registerGauge(
            "horizon_tokens",
            "Highest horizon slack of the owned pools in tokens per unit of share.",
            () => Math.max(0, ...[...this.#pools.values()].map(pool => pool.horizon.slack)),
        );
        const sumPools = (count: (ledger: PoolLedger) => number): number =>
            [...this.#pools.values()].reduce((sum, pool) => sum + count(pool.ledger), 0);
        context.metrics.registerGauge(
            "foreign_work_requests",
            "Requests at targets of owned pools that no entry reports; their slots are not granted.",
            () =>
                sumPools(ledger =>
                    Object.values(ledger.targets).reduce((sum, slots) => sum + slots.foreign, 0)
                ),
        );
        context.metrics.registerGauge(
            "unused_leased_slots",
            "Leased slots of owned pools without a request in the newest reports.",
            () =>
                sumPools(ledger =>
                    Object.values(ledger.entries).reduce((sum, entry) => sum + sumUnusedSlots(entry), 0)
                ),
        );
        context.subscribeView(() => {
            for (const pool of this.#pools.values()) {
                pool.updateTargets();
            }
        });
    }

    /** Creates an owner without pools; it takes over a pool when an entry reports demand for it. */
    static create(context: DaemonContext, options: Partial<PoolOwnerOptions> = {}): PoolOwner {
        return new PoolOwner(context, { ...DEFAULT_OPTIONS, ...options });
    }

    /**
     * Applies the demand report of an entry and replies with the leases of that entry.
     *
     * @throws OwnerClosingError when the daemon stops; the entry then reports to the next owner in rank.
     */
    handleDemand(report: DemandReport__Output): Promise<LeaseState> {
        if (this.#isClosing) {
            return Promise.reject(OwnerClosingError.create());
        }
        const { index } = this.#context.getView();
        const service = index?.serviceNamesByHash.get(report.pool?.service ?? 0);
        const dataCentre = index?.dataCentreNamesByHash.get(report.pool?.dataCentre ?? 0);
        if (!report.pool || service === undefined || dataCentre === undefined) {
            // This daemon has not received the configuration that names the pool yet.
            return Promise.resolve({
                pool: report.pool,
                owner: this.#context.identity.instance,
                ownerIncarnation: this.#context.identity.incarnation,
                reportSequence: report.sequence,
                horizon: Number.POSITIVE_INFINITY,
                recovering: true,
            });
        }
        const key = buildPoolKey(service, dataCentre);
        let pool = this.#pools.get(key);
        if (!pool) {
            this.#takeoverCount += 1;
            pool = OwnedPool.create({
                context: this.#context,
                options: this.#options,
                service,
                dataCentre,
                fencingNumber: Date.now() * 1024 + this.#takeoverCount % 1024,
                sequence: this.#closedSequences.get(key) ?? 0,
                onClose: sequence => {
                    this.#pools.delete(key);
                    this.#closedSequences.set(key, sequence);
                },
            });
            this.#pools.set(key, pool);
        }
        return pool.handleDemand(report);
    }

    /** Lists the keys of the pools that this daemon owns, as `service@dataCentre`. */
    listPools(): readonly string[] {
        return [...this.#pools.keys()];
    }

    /** Lists the targets of owned pools, for operators. */
    listTargets(): readonly ReturnType<typeof listTargetStatus>[number][] {
        const { index } = this.#context.getView();
        const { timings } = this.#options.policy;
        const now = this.#context.getNow();
        return index === undefined
            ? []
            : [...this.#pools.values()].flatMap(pool => listTargetStatus(pool.ledger, index, now, timings));
    }

    /** Closes all pools before a planned stop; pools whose slots nobody may still use are returned to the lenders. */
    async close(): Promise<void> {
        this.#isClosing = true;
        await Promise.all([...this.#pools.values()].map(pool => pool.close()));
    }
}
