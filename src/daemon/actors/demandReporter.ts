import { hashName } from "../../core/configuration/hashName.js";
import { applyLeaseUpdate } from "../../core/dispatch/applyLeaseUpdate.js";
import { createPoolLeases } from "../../core/dispatch/createPoolLeases.js";
import type { DispatchState } from "../../core/dispatch/dispatchState.js";
import type { PoolDemand } from "../../core/dispatch/poolDemand.js";
import type { PoolLeases } from "../../core/dispatch/poolLeases.js";
import { buildPoolKey } from "../../core/lease/buildPoolKey.js";
import { listOwners } from "../../core/lease/listOwners.js";
import { decodeLeaseState } from "../../transport/decodeLeaseState.js";
import { encodeDemandReport } from "../../transport/encodeDemandReport.js";
import type { DemandReport__Output } from "../../transport/generated/baobabspread/peer/DemandReport.js";
import type {
    LeaseState,
    LeaseState__Output,
} from "../../transport/generated/baobabspread/peer/LeaseState.js";
import type { DaemonContext } from "../daemonContext.js";

interface DemandReporterOptions {
    readonly context: DaemonContext;
    /** Handles the reports for pools that this daemon owns. */
    readonly reportDemand: (report: DemandReport__Output) => Promise<LeaseState>;
    readonly getState: () => DispatchState;
    /** Applies a change to the state in the dispatcher's actor. */
    readonly update: (change: (state: DispatchState) => DispatchState) => void;
}

interface SentReport {
    readonly sentAt: number;
    readonly demand: PoolDemand;
    /** Lowest normalised service in the report. */
    readonly lowest: number;
    /** True if the report returned all slots and requested none. */
    readonly isLast: boolean;
}

interface DueReport {
    readonly reason: string;
    /** Monotonic time in milliseconds. */
    readonly dueTime: number;
}

/** Covers a round trip between regions and a busy owner, and stays well within the lease term of 2 s. */
const REPORT_TIMEOUT_MS = 400;
/** An owner that did not reply is skipped for this long, unless failure detection suspects it for longer. */
const OWNER_RETRY_MS = 1000;
/** Time for which send times are kept: longer than the lease term of 2 s plus the longest report interval. */
const REPORT_MEMORY_MS = 10_000;
const MIN_INTERVAL_MS = 20;
const RECOVERY_INTERVAL_MS = 100;
const CHANGED_INTERVAL_MS = 500;
/** Half the lease term, so that one lost report does not end a lease. */
const RENEWAL_INTERVAL_MS = 1000;
/**
 * Report interval of a pool in a remote region that is only probed for free slots. Traffic between regions is billed:
 * 2 s instead raised the control traffic of a trial fleet that was busy everywhere from 2.8 to 3.3 KB/s per daemon.
 */
const REMOTE_INTERVAL_MS = 4000;
/** Largest `PoolDemand.size` of a short queue: about eight requests of two accounts. */
const SHORT_QUEUE_SIZE = 5;

/** Reports demand to the owners of pools and applies the leases in their replies. */
export class DemandReporter {
    readonly #options: DemandReporterOptions;
    readonly #sentReports = new Map<string, SentReport>();
    readonly #sendingPools = new Set<string>();
    /** Monotonic send time in milliseconds of recent reports by sequence. */
    readonly #sentTimes = new Map<number, number>();
    #sequence = 0;
    /** Monotonic time in milliseconds until which an unresponsive owner is skipped. */
    readonly #skippedUntil = new Map<string, number>();

    private constructor(options: DemandReporterOptions) {
        this.#options = options;
    }

    /** Creates a reporter without sent reports. */
    static create(options: DemandReporterOptions): DemandReporter {
        return new DemandReporter(options);
    }

    /** True if the newest report of every pool returned all slots and requested none. */
    get isIdle(): boolean {
        return [...this.#sentReports.values()].every(({ isLast }) => isLast);
    }

    /** Sends every report that is due. A pool that is no longer needed gets one last, empty report. */
    sendDue(demands: ReadonlyMap<string, PoolDemand>): void {
        const now = this.#options.context.getNow();
        for (const [key, { demand, isLast, sentAt }] of this.#sentReports) {
            // A pool without held slots may be needed again at once, so its last report is not urgent.
            const dueTime = sentAt + (demand.holdings.size > 0 ? MIN_INTERVAL_MS : CHANGED_INTERVAL_MS);
            if (!isLast && !demands.has(key) && !this.#sendingPools.has(key) && now >= dueTime) {
                void this.#send(key, { ...demand, demands: [], holdings: new Map(), size: 0 }, true);
            }
        }
        for (const [key, demand] of demands) {
            const { reason, dueTime } = this.#computeDue(key, demand);
            if (!this.#sendingPools.has(key) && now >= dueTime) {
                this.#options.context.metrics.count("demand_reports_total", { reason });
                void this.#send(key, demand, false);
            }
        }
    }

    /** Returns all slots and waits for the owners to reply or the calls to fail. */
    async close(): Promise<void> {
        await Promise.all(
            [...this.#sentReports].map(([key, { demand }]) =>
                this.#send(key, { ...demand, demands: [], holdings: new Map(), size: 0 }, true)
            ),
        );
    }

    /** Returns the owner of a pool: the first instance in rank that is not skipped; `undefined` if there is none. */
    getOwner(service: string, dataCentre: string): string | undefined {
        const { context } = this.#options;
        const now = context.getNow();
        return listOwners(context.getView(), service, dataCentre)
            .find(name => (this.#skippedUntil.get(name) ?? Number.NEGATIVE_INFINITY) <= now);
    }

    /** Applies a lease state; returns false if it is outdated or this daemon regards another instance as the owner. */
    apply(message: LeaseState__Output, service: string, dataCentre: string): boolean {
        const { context, getState, update } = this.#options;
        const key = buildPoolKey(service, dataCentre);
        const owner = this.getOwner(service, dataCentre) ?? "";
        const names = context.getView().index?.targetNamesByHash ?? new Map<number, string>();
        // Deadlines count from the send time of the report; if that is unknown, the leases count as expired.
        const reportedAt = this.#sentTimes.get(message.reportSequence) ?? Number.NEGATIVE_INFINITY;
        const decoded = decodeLeaseState(message, names, reportedAt);
        const applyTo = (state: DispatchState): PoolLeases => {
            const pool = state.pools.get(key) ?? createPoolLeases(service, dataCentre);
            return applyLeaseUpdate(pool, decoded, owner);
        };
        const isAccepted = applyTo(getState()) !== getState().pools.get(key) && message.owner === owner;
        update(state => ({ ...state, pools: new Map(state.pools).set(key, applyTo(state)) }));
        return isAccepted;
    }

    #computeDue(key: string, demand: PoolDemand): DueReport {
        const sent = this.#sentReports.get(key);
        if (!sent) {
            return { reason: "first", dueTime: 0 };
        }
        const pool = this.#options.getState().pools.get(key);
        const isNewDemand = sent.demand.size === 0 && demand.size > 0;
        const holdsNothing = demand.holdings.size === 0 && sent.demand.holdings.size === 0;
        if (demand.distance === 2 && holdsNothing && demand.size === 0) {
            return { reason: "remote", dueTime: sent.sentAt + REMOTE_INTERVAL_MS };
        }
        // A queue that became shorter is not urgent: a surplus slot is returned soon.
        if (demand.events !== sent.demand.events) {
            return { reason: "event", dueTime: sent.sentAt + MIN_INTERVAL_MS };
        }
        // The length of long queues fluctuates; only growth by several times changes what the owner grants.
        const minGrowth = sent.demand.size <= SHORT_QUEUE_SIZE ? 1 : 2;
        if (isNewDemand || demand.size >= sent.demand.size + minGrowth) {
            return { reason: "more-waiting", dueTime: sent.sentAt + MIN_INTERVAL_MS };
        }
        if (demand.demands.length > 0 && pool?.recovering === true) {
            return { reason: "recovering", dueTime: sent.sentAt + RECOVERY_INTERVAL_MS };
        }
        const lowest = demand.demands[0]?.normalizedService ?? sent.lowest;
        // An entry above the horizon has to return slots, so it reports before it reaches the horizon.
        const headroom = (pool?.horizon ?? Number.POSITIVE_INFINITY) - sent.lowest;
        return lowest - sent.lowest > headroom / 2
            ? { reason: "horizon-near", dueTime: sent.sentAt + CHANGED_INTERVAL_MS }
            : { reason: "renewal", dueTime: sent.sentAt + RENEWAL_INTERVAL_MS };
    }

    async #send(key: string, demand: PoolDemand, isLast: boolean): Promise<void> {
        const { context, update } = this.#options;
        const owner = this.getOwner(demand.service, demand.dataCentre);
        if (owner === undefined) {
            return;
        }
        this.#sendingPools.add(key);
        const sentAt = context.getNow();
        this.#sentReports.set(key, {
            sentAt,
            demand,
            lowest: demand.demands[0]?.normalizedService ?? 0,
            isLast,
        });
        const pool = this.#options.getState().pools.get(key)
            ?? createPoolLeases(demand.service, demand.dataCentre);
        this.#sequence += 1;
        const sequence = this.#sequence;
        this.#recordSentTime(sequence, sentAt);
        update(state => ({
            ...state,
            pools: new Map(state.pools).set(key, {
                ...state.pools.get(key) ?? pool,
                reportSequence: sequence,
                hasDemand: demand.size > 0,
            }),
        }));
        try {
            const reply = await this.#fetchLeases(owner, demand, {
                sequence,
                appliedSequence: pool.owner === owner ? pool.sequence : 0,
                appliedOwner: pool.ownerIncarnation === "" ? 0 : hashName(pool.ownerIncarnation),
            });
            this.apply(reply, demand.service, demand.dataCentre);
        }
        catch (error) {
            this.#skippedUntil.set(owner, context.getNow() + OWNER_RETRY_MS);
            this.#sentReports.delete(key);
            context.metrics.count("lease_events_total", { reason: "owner-unreachable" });
            context.logger.debug("owner-unreachable", { owner, pool: key, error: String(error) });
        }
        finally {
            this.#sendingPools.delete(key);
        }
    }

    #recordSentTime(sequence: number, sentAt: number): void {
        this.#sentTimes.set(sequence, sentAt);
        for (const [oldSequence, time] of this.#sentTimes) {
            if (time >= sentAt - REPORT_MEMORY_MS) {
                break;
            }
            this.#sentTimes.delete(oldSequence);
        }
    }

    async #fetchLeases(
        owner: string,
        demand: PoolDemand,
        numbers: Pick<DemandReport__Output, "sequence" | "appliedSequence" | "appliedOwner">,
    ): Promise<LeaseState__Output> {
        const { context, reportDemand } = this.#options;
        const { instance, incarnation } = context.identity;
        const report = encodeDemandReport(demand, { instance, incarnation, ...numbers });
        if (owner !== instance) {
            const reply = await context.peers.send(owner, "ReportDemand", report, REPORT_TIMEOUT_MS);
            return reply as LeaseState__Output;
        }
        const reply = await reportDemand(report);
        return {
            pool: { service: report.pool?.service ?? 0, dataCentre: report.pool?.dataCentre ?? 0 },
            owner: reply.owner ?? "",
            ownerIncarnation: reply.ownerIncarnation ?? "",
            sequence: Number(reply.sequence ?? 0),
            reportSequence: Number(reply.reportSequence ?? 0),
            leases: (reply.leases ?? []).map(lease => ({
                target: lease.target ?? 0,
                slots: lease.slots ?? 0,
                fencingNumber: Number(lease.fencingNumber ?? 0),
                remainingMs: lease.remainingMs ?? 0,
            })),
            horizon: Number(reply.horizon ?? 0),
            recovering: reply.recovering ?? false,
            freeSlots: reply.freeSlots ?? 0,
            reportAgeMs: reply.reportAgeMs ?? 0,
        };
    }
}
