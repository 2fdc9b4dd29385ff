import { dispatch, type Ref, spawn, stop } from "nact";
import { hashName } from "../../core/configuration/hashName.js";
import { applyLedgerEvent } from "../../core/lease/applyLedgerEvent.js";
import { buildEntryKey } from "../../core/lease/buildEntryKey.js";
import { buildLeaseState } from "../../core/lease/buildLeaseState.js";
import { createLedger } from "../../core/lease/createLedger.js";
import { isLedgerIdle } from "../../core/lease/isLedgerIdle.js";
import type { LedgerEffect } from "../../core/lease/ledgerEffect.js";
import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import { listOwners } from "../../core/lease/listOwners.js";
import type { PoolLedger } from "../../core/lease/poolLedger.js";
import type { DemandReport__Output } from "../../transport/generated/baobabspread/peer/DemandReport.js";
import type { LeaseState } from "../../transport/generated/baobabspread/peer/LeaseState.js";
import type { PoolId__Output } from "../../transport/generated/baobabspread/peer/PoolId.js";
import type { DaemonContext } from "../daemonContext.js";
import { decodeDemandReport } from "../decodeDemandReport.js";
import { encodeLeaseState } from "../encodeLeaseState.js";
import { PoolHorizon } from "./poolHorizon.js";
import type { PoolOwnerOptions } from "./poolOwnerOptions.js";
import { PoolPeers } from "./poolPeers.js";
import { TargetLoadReader } from "./targetLoadReader.js";

interface OwnedPoolOptions {
    readonly context: DaemonContext;
    readonly options: PoolOwnerOptions;
    readonly service: string;
    readonly dataCentre: string;
    readonly fencingNumber: number;
    /** Sequence of the last lease state that this daemon sent for the pool. */
    readonly sequence: number;
    /** Called when the pool closes, with the sequence of its last lease state. */
    readonly onClose: (sequence: number) => void;
}

interface PoolMessage {
    readonly event: LedgerEvent;
    /** Called with the ledger after the event. */
    readonly resolve?: (ledger: PoolLedger) => void;
}

/** Reasons that occur many times a second under load; they are counted but not recorded as decisions. */
const FREQUENT_REASONS: ReadonlySet<string> = new Set(["slot-granted", "slot-returned", "slot-reclaimed"]);

/** One pool that this daemon owns: an actor around its ledger, and the timers and calls that feed it. */
export class OwnedPool {
    readonly horizon = PoolHorizon.create();
    readonly #options: OwnedPoolOptions;
    readonly #poolId: PoolId__Output;
    readonly #peers: PoolPeers;
    readonly #loadReader: TargetLoadReader;
    readonly #actor: Ref<PoolMessage>;
    readonly #timers: readonly NodeJS.Timeout[];
    ledger: PoolLedger;
    #lastDemandAt: number;
    #isClosed = false;

    private constructor(options: OwnedPoolOptions) {
        const { context, service, dataCentre } = options;
        const { borrowIntervalMs, loadIntervalMs, policy } = options.options;
        const now = context.getNow();
        this.#options = options;
        this.#poolId = { service: hashName(service), dataCentre: hashName(dataCentre) };
        const onEvent = (event: LedgerEvent): void => {
            this.#send({ event });
        };
        this.#loadReader = TargetLoadReader.create({ context, options: options.options, onEvent });
        this.#peers = PoolPeers.create({
            context,
            pool: this.#poolId,
            service,
            dataCentre,
            timeoutMs: borrowIntervalMs,
            onEvent,
        });
        const instances = context.getView().instances.instances.map(instance => instance.name);
        this.ledger = createLedger(
            options.fencingNumber,
            options.sequence,
            now + policy.timings.termMs,
            instances,
        );
        this.#lastDemandAt = now;
        this.#actor = spawn(
            context.system,
            (ledger: PoolLedger, message: PoolMessage) => this.#receive(ledger, message),
            `pool-${service}-${dataCentre}-${options.fencingNumber}`,
            {
                initialState: this.ledger,
                onCrash: (_message, error, { resume }) => {
                    context.logger.error("pool-failed", { service, dataCentre, error: String(error) });
                    return resume;
                },
            },
        );
        this.#timers = [
            setInterval(() => {
                this.#peers.requestSlots();
            }, borrowIntervalMs),
            setInterval(() => {
                this.#runTick();
            }, loadIntervalMs),
        ];
        this.updateTargets();
        this.#record({ type: "record", reason: "takeover", count: 1 });
        context.metrics.count("takeovers_total", { reason: "demand" });
        this.#peers.requestSlots();
        this.#peers.collectHoldings(instances, policy.timings.termMs);
    }

    /** Takes over a pool: borrows its slots and collects the holdings of all instances. */
    static create(options: OwnedPoolOptions): OwnedPool {
        return new OwnedPool(options);
    }

    /** Applies the demand report of an entry and replies with its leases. */
    handleDemand(report: DemandReport__Output): Promise<LeaseState> {
        this.#lastDemandAt = this.#options.context.getNow();
        const { instance, incarnation } = report;
        const localIncarnation = this.#options.context.identity.incarnation;
        return new Promise(resolve => {
            this.#send({
                event: {
                    type: "demand",
                    instance,
                    incarnation,
                    report: decodeDemandReport(report, localIncarnation),
                },
                resolve: ledger => {
                    resolve(this.#makeLeaseState(ledger, buildEntryKey(instance, incarnation)));
                },
            });
        });
    }

    /** Applies the targets of the configuration in force. */
    updateTargets(): void {
        const { context, service, dataCentre } = this.#options;
        const { index } = context.getView();
        const targets = Object.fromEntries(
            (index?.getPool(service, dataCentre) ?? []).map(target => [String(hashName(target.name)), {
                slotLimit: target.slotLimit,
                coldLimit: target.coldLimit,
                inService: index?.isInService(target) ?? false,
            }]),
        );
        this.#send({ event: { type: "configure", targets } });
    }

    /** Stops and returns the slots to the lenders, unless entries may still use some: then the loans expire. */
    async close(): Promise<void> {
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        for (const timer of this.#timers) {
            clearInterval(timer);
        }
        stop(this.#actor);
        this.#options.onClose(this.ledger.sequence);
        const { context, options } = this.#options;
        const isIdle = isLedgerIdle(this.ledger, context.getNow(), options.policy.timings.marginMs);
        this.#record({ type: "record", reason: isIdle ? "pool-released" : "pool-left-to-expire", count: 1 });
        if (isIdle) {
            await this.#peers.releaseSlots(Object.keys(this.ledger.loans));
        }
    }

    #send(message: PoolMessage): void {
        if (!this.#isClosed) {
            dispatch(this.#actor, message);
        }
    }

    #receive(ledger: PoolLedger, message: PoolMessage): PoolLedger {
        const { context, options } = this.#options;
        const now = context.getNow();
        const { event } = message;
        const result = applyLedgerEvent(ledger, event, now, options.policy);
        this.ledger = result.state;
        const reporter = event.type === "demand"
            ? buildEntryKey(event.instance, event.incarnation)
            : undefined;
        const notified = new Set([reporter]);
        for (const effect of result.effects) {
            if (effect.type === "record") {
                this.#record(effect);
                continue;
            }
            const entry = result.state.entries[effect.entry];
            if (entry && !notified.has(effect.entry)) {
                notified.add(effect.entry);
                this.#peers.pushLease(entry.instance, () => this.#makeLeaseState(this.ledger, effect.entry));
            }
        }
        message.resolve?.(result.state);
        this.#loadReader.pollUncertain(result.state.targets);
        return result.state;
    }

    #makeLeaseState(ledger: PoolLedger, key: string): LeaseState {
        const { context, options } = this.#options;
        const now = context.getNow();
        const policy = { ...options.policy, horizonSlack: this.horizon.slack };
        const state = buildLeaseState(ledger, key, now, policy);
        return encodeLeaseState(this.#poolId, context.identity, state, now);
    }

    #runTick(): void {
        const { context, options, service, dataCentre } = this.#options;
        const now = context.getNow();
        const { termMs, marginMs } = options.policy.timings;
        const isFirstInRank =
            listOwners(context.getView(), service, dataCentre)[0] === context.identity.instance;
        // An owner that is not first in rank closes the pool soon after the entries have gone back to the first one.
        const idleMs = isFirstInRank ? options.idleMs : Math.min(options.idleMs, termMs + marginMs);
        if (now - this.#lastDemandAt > idleMs && isLedgerIdle(this.ledger, now, marginMs)) {
            void this.close();
            return;
        }
        this.horizon.observe(this.ledger, now, options.policy.timings);
        this.#send({ event: { type: "tick" } });
        this.#loadReader.pollTargets(this.ledger.targets);
    }

    #record(
        effect:
            | Extract<LedgerEffect, { type: "record"; }>
            | {
                readonly type: "record";
                readonly reason: "takeover" | "pool-released" | "pool-left-to-expire";
                readonly count: number;
                readonly entry?: undefined;
                readonly target?: undefined;
            },
    ): void {
        const { context, service, dataCentre } = this.#options;
        const { reason, count, entry, target } = effect;
        context.metrics.count("lease_events_total", { reason }, count);
        if (FREQUENT_REASONS.has(reason)) {
            return;
        }
        const targetName = target === undefined
            ? undefined
            : context.getView().index?.targetNamesByHash.get(Number(target));
        context.recordDecision({
            timeMs: Date.now(),
            kind: reason === "takeover" ? "takeover" : "lease",
            reason,
            service,
            ...targetName === undefined ? {} : { target: targetName },
            fields: { dataCentre, count, ...entry === undefined ? {} : { entry } },
        });
    }
}
