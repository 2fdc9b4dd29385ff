import { dispatch, type Ref, spawn } from "nact";
import { applyCharges } from "../../core/dispatch/applyCharges.js";
import { applyRelease } from "../../core/dispatch/applyRelease.js";
import { createDispatchState } from "../../core/dispatch/createDispatchState.js";
import type { DispatchPolicy } from "../../core/dispatch/dispatchPolicy.js";
import type { DispatchState } from "../../core/dispatch/dispatchState.js";
import { evictQueues } from "../../core/dispatch/evictQueues.js";
import { expireLeases } from "../../core/dispatch/expireLeases.js";
import { fifoPolicy } from "../../core/dispatch/fifoPolicy.js";
import { fleetPolicy } from "../../core/dispatch/fleetPolicy.js";
import { listHoldings } from "../../core/dispatch/listHoldings.js";
import { listPoolDemands } from "../../core/dispatch/listPoolDemands.js";
import { localPolicy } from "../../core/dispatch/localPolicy.js";
import { releaseSlots } from "../../core/dispatch/releaseSlots.js";
import { explainDispatch } from "../../core/explain/route/explainDispatch.js";
import type { ServiceExplanation } from "../../core/explain/route/serviceExplanation.js";
import type { RequestTicket } from "../../core/request/requestTicket.js";
import type { SlotBroker } from "../../core/request/slotBroker.js";
import type { SlotGrant } from "../../core/request/slotGrant.js";
import type { SlotResult } from "../../core/request/slotResult.js";
import type { Acknowledgement } from "../../transport/generated/baobabspread/peer/Acknowledgement.js";
import type { DemandReport__Output } from "../../transport/generated/baobabspread/peer/DemandReport.js";
import type { HoldingsReply } from "../../transport/generated/baobabspread/peer/HoldingsReply.js";
import type { HoldingsRequest__Output } from "../../transport/generated/baobabspread/peer/HoldingsRequest.js";
import type {
    LeaseState,
    LeaseState__Output,
} from "../../transport/generated/baobabspread/peer/LeaseState.js";
import type { PoolId__Output } from "../../transport/generated/baobabspread/peer/PoolId.js";
import type { DaemonContext } from "../daemonContext.js";
import { NameHashCache } from "../nameHashCache.js";
import type { Accounting } from "./accounting.js";
import { DemandReporter } from "./demandReporter.js";
import { DispatchInputsReader } from "./dispatchInputsReader.js";
import { OpenRequests } from "./openRequests.js";
import { SlotScheduler } from "./slotScheduler.js";

interface DispatcherOptions {
    readonly context: DaemonContext;
    readonly accounting: Accounting;
    /** Handles the reports for pools that this daemon owns. */
    readonly reportDemand: (report: DemandReport__Output) => Promise<LeaseState>;
}

type Update = (state: DispatchState) => DispatchState;

const POLICIES: Readonly<Record<string, DispatchPolicy>> = {
    fleet: fleetPolicy,
    local: localPolicy,
    fifo: fifoPolicy,
};

/** Identifier of a request that is only explained; those of callers' requests are positive. */
const EXPLAINED_ID = -1;
/** Time between two ticks, which check deadlines, slots and reports; also the shortest time between two reports. */
const TICK_INTERVAL_MS = 20;

/** Queues requests and grants them slots from the leases that this daemon holds. */
export class Dispatcher implements SlotBroker {
    readonly #context: DaemonContext;
    readonly #accounting: Accounting;
    readonly #policy: DispatchPolicy;
    readonly #inputs: DispatchInputsReader;
    readonly #scheduler: SlotScheduler;
    readonly #requests = OpenRequests.create();
    readonly #hashes = NameHashCache.create();
    readonly #reporter: DemandReporter;
    readonly #actor: Ref<Update>;
    #state = createDispatchState();
    #tickTimer: NodeJS.Timeout | undefined;
    #isLeaving = false;
    #isDrained = false;
    #lastTickAt = Number.NEGATIVE_INFINITY;
    #onIdle: (() => void) | undefined;

    private constructor(options: DispatcherOptions) {
        const { context, accounting } = options;
        this.#context = context;
        this.#accounting = accounting;
        this.#policy = POLICIES[context.settings.policy] ?? fleetPolicy;
        this.#inputs = DispatchInputsReader.create(context, accounting, this.#policy);
        this.#scheduler = SlotScheduler.create({
            context,
            accounting,
            policy: this.#policy,
            inputs: this.#inputs,
            requests: this.#requests,
        });
        this.#reporter = DemandReporter.create({
            context,
            reportDemand: options.reportDemand,
            getState: () => this.#state,
            update: change => this.#update(change),
        });
        this.#actor = spawn(
            context.system,
            (_previous: DispatchState | undefined, update: Update) => {
                this.#state = this.#scheduler.grantSlots(update(this.#state));
                this.#scheduleTick();
                return this.#state;
            },
            "dispatcher",
        );
        context.subscribeView(() => this.#update(state => state));
        context.metrics.registerGauge(
            "waiting_requests",
            "Requests without a slot.",
            () => this.#requests.waitingCount,
        );
    }

    /** Creates a dispatcher with empty queues. */
    static create(options: DispatcherOptions): Dispatcher {
        return new Dispatcher(options);
    }

    async acquireSlot(ticket: RequestTicket, signal: AbortSignal): Promise<SlotGrant> {
        let onAbort = (): void => {};
        try {
            return await new Promise((resolve, reject) => {
                const request = this.#requests.add(ticket, this.#context.getNow(), { resolve, reject });
                if (this.#isLeaving) {
                    this.#scheduler.refuse(request, "instance-leaving", "The instance is leaving.");
                    return;
                }
                if (signal.aborted) {
                    this.#scheduler.refuse(request, "caller-disconnected", "The caller has disconnected.");
                    return;
                }
                this.#update(state => this.#scheduler.enqueue(state, request));
                onAbort = () => this.#update(state => this.#scheduler.withdraw(state, request));
                signal.addEventListener("abort", onAbort, { once: true });
            });
        }
        finally {
            signal.removeEventListener("abort", onAbort);
        }
    }

    chargeTokens(grant: SlotGrant, tokens: number): void {
        this.#requests.charge(grant, tokens);
        this.#accounting.charge(grant.ticket.account, tokens);
    }

    releaseSlot(grant: SlotGrant, result: SlotResult): void {
        const ended = this.#requests.end(grant);
        if (!ended) {
            return;
        }
        this.#accounting.charge(grant.ticket.account, result.cost - ended.charged);
        this.#update(state => applyRelease(state, ended.id, result));
    }

    /** Applies leases that the owner of a pool pushes. */
    handleLease(state: LeaseState__Output): Promise<Acknowledgement> {
        const pool = this.#findPool(state.pool);
        const accepted = pool !== undefined
            && this.#reporter.apply(state, pool.service, pool.dataCentre);
        return Promise.resolve({ accepted });
    }

    /** Reports to a new owner which slots this daemon holds in a pool. */
    handleHoldings(request: HoldingsRequest__Output): Promise<HoldingsReply> {
        const { instance, incarnation } = this.#context.identity;
        const pool = this.#findPool(request.pool);
        const state = expireLeases(this.#state, this.#context.getNow());
        const holdings = pool ? listHoldings(state, pool.service, pool.dataCentre) : new Map<string, never>();
        return Promise.resolve({
            instance,
            incarnation,
            holdings: [...holdings].map(([target, holding]) => ({
                target: this.#hashes.get(target),
                ...holding,
            })),
        });
    }

    /** Returns the queues, requests in flight and leases; each change creates a new value. */
    getState(): DispatchState {
        return this.#state;
    }

    /** Explains what would be decided on a new request now, on a copy of the state; `undefined` without a configuration. */
    explainSlot(ticket: RequestTicket): ServiceExplanation | undefined {
        const request = { id: EXPLAINED_ID, ticket, enqueuedAt: this.#context.getNow() };
        const inputs = this.#inputs.read();
        return inputs && explainDispatch(this.#state, request, this.#policy, inputs);
    }

    /** Refuses new requests, waits until none is queued or in flight, and then returns all slots. */
    async drain(): Promise<void> {
        this.#isLeaving = true;
        await new Promise<void>(resolve => {
            this.#onIdle = resolve;
            this.#update(state => state);
        });
        // A later tick would report slots that are being returned.
        this.#isDrained = true;
        clearTimeout(this.#tickTimer);
        await this.#reporter.close();
    }

    #update(update: Update): void {
        dispatch(this.#actor, update);
    }

    #scheduleTick(): void {
        if (this.#requests.count === 0) {
            this.#onIdle?.();
        }
        const hasLeases = [...this.#state.pools.values()].some(pool => pool.leases.size > 0);
        if (
            this.#tickTimer || this.#isDrained
            || (this.#requests.count === 0 && !hasLeases && this.#reporter.isIdle)
        ) {
            return;
        }
        const delayMs = Math.max(0, this.#lastTickAt + TICK_INTERVAL_MS - this.#context.getNow());
        this.#tickTimer = setTimeout(() => {
            this.#tickTimer = undefined;
            this.#update(state => this.#advance(state));
        }, delayMs).unref();
    }

    /** Expires requests, queues and leases, grants and returns slots, and sends the reports that are due. */
    #advance(state: DispatchState): DispatchState {
        if (this.#isDrained) {
            return state;
        }
        const now = this.#context.getNow();
        this.#lastTickAt = now;
        const charged = applyCharges(state, this.#requests.collectCharges());
        const unexpired = evictQueues(this.#scheduler.expire(charged, now), now);
        const current = this.#scheduler.grantSlots(expireLeases(unexpired, now));
        const inputs = this.#inputs.read();
        if (!inputs || !this.#policy.usesLeases) {
            return current;
        }
        const released = releaseSlots(current, this.#policy, inputs);
        // The reporter reads the state, so it has to see the returned slots.
        this.#state = released;
        this.#reporter.sendDue(listPoolDemands(released, this.#policy, inputs));
        return released;
    }

    #findPool(
        id: PoolId__Output | null,
    ): { readonly service: string; readonly dataCentre: string; } | undefined {
        const index = this.#context.getView().index;
        const service = index?.serviceNamesByHash.get(id?.service ?? 0);
        const dataCentre = index?.dataCentreNamesByHash.get(id?.dataCentre ?? 0);
        return service === undefined || dataCentre === undefined ? undefined : { service, dataCentre };
    }
}
