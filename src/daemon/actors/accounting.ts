import { dispatch, type Ref, spawn } from "nact";
import { hashName } from "../../core/configuration/hashName.js";
import { applyCounterReply } from "../../core/fairness/applyCounterReply.js";
import { applyCounterReport } from "../../core/fairness/applyCounterReport.js";
import { applyRootRole } from "../../core/fairness/applyRootRole.js";
import { buildCounterReply } from "../../core/fairness/buildCounterReply.js";
import { buildCounterReport } from "../../core/fairness/buildCounterReport.js";
import { chargeAccounts } from "../../core/fairness/chargeAccounts.js";
import type { CounterState } from "../../core/fairness/counterState.js";
import { createCounterState } from "../../core/fairness/createCounterState.js";
import { createFairnessView } from "../../core/fairness/createFairnessView.js";
import { dropBatches } from "../../core/fairness/dropBatches.js";
import { evictChildren } from "../../core/fairness/evictChildren.js";
import type { FairnessView } from "../../core/fairness/fairnessView.js";
import { liftAccounts } from "../../core/fairness/liftAccounts.js";
import { setWaiting } from "../../core/fairness/setWaiting.js";
import { sumWaiting } from "../../core/fairness/sumWaiting.js";
import { decodeCounterReply } from "../../transport/decodeCounterReply.js";
import { decodeCounterReport } from "../../transport/decodeCounterReport.js";
import { encodeCounterReply } from "../../transport/encodeCounterReply.js";
import { encodeCounterReport } from "../../transport/encodeCounterReport.js";
import type {
    CounterReply,
    CounterReply__Output,
} from "../../transport/generated/baobabspread/peer/CounterReply.js";
import type { CounterReport__Output } from "../../transport/generated/baobabspread/peer/CounterReport.js";
import type { DaemonContext } from "../daemonContext.js";
import { AggregationPosition } from "./aggregationPosition.js";
import { ChargeBuffer } from "./chargeBuffer.js";
import { RevisionExchange } from "./revisionExchange.js";

interface AccountingOptions {
    readonly context: DaemonContext;
    /** Called with the configuration and instance list revisions that a peer reports. */
    readonly observeRevisions: (
        instance: string,
        revision: number,
        digest: string,
        instanceListRevision: number,
    ) => void;
    /** Time in milliseconds between two exchanges while counters change. @default 500 */
    readonly exchangeIntervalMs?: number;
}

type Update = (state: CounterState, now: number) => CounterState;

const EXCHANGE_INTERVAL_MS = 500;
/** Without changes, exchanges are this many intervals apart: 2 s at the default interval. */
const IDLE_INTERVALS = 4;
/** Charges are buffered for this long, so that a token costs one addition in a map. */
const CHARGE_INTERVAL_MS = 50;
/** A child with a backlog reports every interval; its backlog expires after this many intervals without a report. */
const CHILD_EXPIRY_INTERVALS = 5;

/** Keeps the service counters of this daemon and of its subtree of the aggregation tree. */
export class Accounting {
    readonly #context: DaemonContext;
    readonly #intervalMs: number;
    /** True for the baseline policies: counters stay at this daemon and only revisions are exchanged. */
    readonly #isLocalOnly: boolean;
    readonly #revisions: RevisionExchange;
    readonly #position: AggregationPosition;
    readonly #actor: Ref<Update>;
    readonly #timers: readonly NodeJS.Timeout[];
    readonly #charges: ChargeBuffer;
    #state = createCounterState();
    #view: FairnessView | undefined;
    #exchange: Promise<void> | undefined;
    #lastExchangeAt = Number.NEGATIVE_INFINITY;
    #hasChanged = false;
    #isClosed = false;

    private constructor(options: AccountingOptions) {
        const { context } = options;
        this.#context = context;
        this.#intervalMs = options.exchangeIntervalMs ?? EXCHANGE_INTERVAL_MS;
        this.#charges = ChargeBuffer.create(context.metrics);
        this.#isLocalOnly = context.settings.policy !== "fleet";
        this.#revisions = RevisionExchange.create(context.getView, options.observeRevisions);
        this.#position = AggregationPosition.create(context.identity.instance, this.#intervalMs);
        this.#actor = spawn(
            context.system,
            (state: CounterState | undefined, update: Update) => {
                this.#state = update(state ?? this.#state, context.getNow());
                this.#view = undefined;
                return this.#state;
            },
            "accounting",
        );
        context.subscribeView(() => {
            this.#view = undefined;
        });
        this.#timers = [
            setInterval(() => this.#flushCharges(), CHARGE_INTERVAL_MS).unref(),
            setInterval(() => this.#sendDueReports(), this.#intervalMs).unref(),
        ];
    }

    /** Creates empty counters and starts the periodic exchange with the parent. */
    static create(options: AccountingOptions): Accounting {
        return new Accounting(options);
    }

    /** Adds served tokens to an account. */
    charge(account: string, tokens: number): void {
        this.#charges.add(account, tokens);
    }

    /** Sets the number of requests of an account that wait at this daemon, over all services. */
    setWaiting(account: string, waiting: number): void {
        this.#hasChanged = true;
        this.#update(state => setWaiting(state, hashName(account), waiting, this.#getShare(account)));
    }

    /** Returns the latest view of the counters. */
    getView(): FairnessView {
        this.#view ??= createFairnessView(this.#state, {
            getShare: account => this.#getShare(account),
            ...this.#position.getLimits(this.#context.getView()),
        });
        return this.#view;
    }

    /** Applies the report of a child in the aggregation tree and replies with totals. */
    handleReport(message: CounterReport__Output): Promise<CounterReply> {
        const { identity } = this.#context;
        const sender = { instance: message.instance, incarnation: message.incarnation };
        this.#revisions.observe(message);
        return new Promise(resolve => {
            this.#update((state, now) => {
                const report = decodeCounterReport(message);
                const isAddressed = message.parentIncarnation === hashName(identity.incarnation);
                const updated = this.#isClosed ? state : applyCounterReport(state, {
                    ...sender,
                    isAddressed,
                    expiresAt: now + CHILD_EXPIRY_INTERVALS * this.#intervalMs,
                }, report);
                const values = [...report.increments.values(), ...report.waiting.values()];
                this.#hasChanged ||= values.some(value => value > 0);
                const reply = buildCounterReply(updated, identity, sender, message.accounts);
                resolve({
                    ...encodeCounterReply(reply, message.accounts, isAddressed),
                    ...this.#revisions.build(message.instance),
                    accepted: this.#position.isParentOf(this.#context.getView(), message.instance),
                });
                return updated;
            });
        });
    }

    /** Sends pending increments to the parent before a planned stop. */
    async close(): Promise<void> {
        for (const timer of this.#timers) {
            clearInterval(timer);
        }
        this.#flushCharges();
        await this.#exchange;
        this.#isClosed = true;
        // The first exchange may only repeat an unacknowledged batch or attach to a parent; two more send the rest.
        for (let round = 0; round < 3; round += 1) {
            await this.#sendReports();
        }
    }

    #update(update: Update): void {
        dispatch(this.#actor, update);
    }

    /** Runs an update in the actor and returns its result. */
    #runUpdate<T>(
        update: (state: CounterState, now: number) => { state: CounterState; result: T; },
    ): Promise<T> {
        return new Promise(resolve => {
            this.#update((state, now) => {
                const { state: updated, result } = update(state, now);
                resolve(result);
                return updated;
            });
        });
    }

    #flushCharges(): void {
        const charges = this.#charges.flush();
        if (charges.size > 0) {
            this.#hasChanged = true;
            this.#update(state => chargeAccounts(state, charges));
        }
    }

    #sendDueReports(): void {
        const now = this.#context.getNow();
        this.#position.observeLevel(this.#state.lowest, now);
        const isBusy = this.#hasChanged || this.#state.waiting.size > 0 || this.#state.batches.length > 0;
        // Timers fire a little early or late, so half an interval is subtracted from the idle time.
        const idleMs = (IDLE_INTERVALS - 0.5) * this.#intervalMs;
        if (this.#exchange || (!isBusy && now - this.#lastExchangeAt < idleMs)) {
            return;
        }
        this.#hasChanged = false;
        this.#lastExchangeAt = now;
        this.#exchange = this.#sendReports().finally(() => {
            this.#exchange = undefined;
        });
    }

    async #sendReports(): Promise<void> {
        const view = this.#context.getView();
        const parent = this.#position.getParent(view);
        const listed = new Set(view.instances.instances.map(instance => instance.name));
        this.#update((state, now) => evictChildren(dropBatches(state, listed), listed, now));
        const formerParents = new Set(
            this.#state.batches.map(batch => batch.parent).filter(name => name !== parent),
        );
        const reachableFormerParents = [...formerParents].filter(name =>
            !view.suspected.has(name) && listed.has(name)
        );
        const results = await Promise.all([
            parent === undefined ? Promise.resolve(false) : this.#sendReport(parent, true),
            ...reachableFormerParents.map(name => this.#sendReport(name, false)),
        ]);
        if (results[0] !== true) {
            this.#update((state, now) => this.#applyRoot(state, now));
        }
    }

    async #sendReport(receiver: string, isParent: boolean): Promise<boolean> {
        const { identity, peers } = this.#context;
        const report = await this.#runUpdate((state, now) => {
            const built = buildCounterReport(this.#isLocalOnly ? createCounterState() : state, receiver, now);
            return { state: this.#isLocalOnly ? state : built.state, result: built.report };
        });
        const message = encodeCounterReport(report);
        try {
            const reply = await peers.send(receiver, "ExchangeCounters", {
                instance: identity.instance,
                incarnation: identity.incarnation,
                ...message,
                ...this.#revisions.build(receiver),
            }, this.#intervalMs);
            const values = decodeCounterReply(reply as CounterReply__Output, receiver, report);
            this.#revisions.observe({ ...reply as CounterReply__Output, instance: receiver });
            this.#update(state => this.#isLocalOnly ? state : applyCounterReply(state, values, isParent));
            return !this.#isLocalOnly;
        }
        catch {
            // The peer directory has recorded the failure; the batch is kept and sent again.
            return false;
        }
    }

    #applyRoot(state: CounterState, now: number): CounterState {
        const isListedRoot = this.#isLocalOnly || this.#position.isListedRoot(this.#context.getView());
        const collectMs = this.#isLocalOnly ? 0 : (IDLE_INTERVALS + 1) * this.#intervalMs;
        const acting = applyRootRole(state, { isListedRoot, collectMs }, now);
        const names = this.#context.getView().index?.accountNamesByHash;
        return liftAccounts(acting, {
            waiting: sumWaiting(acting, now),
            getShare: account => this.#getShare(names?.get(account) ?? ""),
            raisesBases: isListedRoot && now >= (acting.collectUntil ?? now),
        });
    }

    #getShare(account: string): number {
        return this.#context.getView().index?.getWeight(account) ?? 1;
    }
}
