import { dispatch, type Ref, spawn } from "nact";
import { hashName } from "../../core/configuration/hashName.js";
import { applyLenderEvent } from "../../core/lease/applyLenderEvent.js";
import { buildPoolKey } from "../../core/lease/buildPoolKey.js";
import { computeAssignmentTime } from "../../core/lease/computeAssignmentTime.js";
import { defaultLeaseTimings } from "../../core/lease/defaultLeaseTimings.js";
import type { LeaseTimings } from "../../core/lease/leaseTimings.js";
import type { LenderEvent } from "../../core/lease/lenderEvent.js";
import type { LenderState } from "../../core/lease/lenderState.js";
import { listLenders } from "../../core/lease/listLenders.js";
import type { LoanReply } from "../../core/lease/loanReply.js";
import type { BorrowReply } from "../../transport/generated/baobabspread/peer/BorrowReply.js";
import type { BorrowRequest__Output } from "../../transport/generated/baobabspread/peer/BorrowRequest.js";
import type { DaemonContext } from "../daemonContext.js";

interface PoolName {
    readonly service: string;
    readonly dataCentre: string;
}

interface LenderPool extends PoolName {
    readonly state: LenderState;
}

type LenderMessage =
    | { readonly type: "view"; }
    | {
        readonly type: "borrow";
        readonly pool: PoolName;
        readonly request: BorrowRequest__Output;
        readonly resolve: (reply: BorrowReply) => void;
    };

/** Lends this daemon's slots of each pool to one owner at a time. */
export class Lender {
    readonly #context: DaemonContext;
    readonly #timings: LeaseTimings;
    readonly #startedAt: number;
    readonly #actor: Ref<LenderMessage>;
    /** Monotonic time in milliseconds at which the first instance list was adopted. */
    #firstAdoptedAt: number | undefined;

    private constructor(context: DaemonContext, timings: LeaseTimings) {
        this.#context = context;
        this.#timings = timings;
        this.#startedAt = context.getNow();
        this.#recordFirstList();
        this.#actor = spawn(
            context.system,
            (pools: ReadonlyMap<string, LenderPool>, message: LenderMessage) => this.#receive(pools, message),
            "lender",
            {
                initialState: new Map(),
                onCrash: (_message, error, { resume }) => {
                    context.logger.error("lender-failed", { error: String(error) });
                    return resume;
                },
            },
        );
        context.subscribeView(() => {
            this.#recordFirstList();
            dispatch(this.#actor, { type: "view" });
        });
    }

    /** Creates a lender that lends nothing until one lease term plus margin has passed. */
    static create(context: DaemonContext, timings: LeaseTimings = defaultLeaseTimings): Lender {
        return new Lender(context, timings);
    }

    /** Handles the request of an owner to borrow or return the slots of a pool. */
    handleBorrow(request: BorrowRequest__Output): Promise<BorrowReply> {
        const { index } = this.#context.getView();
        const service = index?.serviceNamesByHash.get(request.pool?.service ?? 0);
        const dataCentre = index?.dataCentreNamesByHash.get(request.pool?.dataCentre ?? 0);
        if (service === undefined || dataCentre === undefined) {
            return Promise.resolve({ granted: false, reason: "not-lender" });
        }
        return new Promise(resolve => {
            dispatch(this.#actor, { type: "borrow", pool: { service, dataCentre }, request, resolve });
        });
    }

    #receive(
        pools: ReadonlyMap<string, LenderPool>,
        message: LenderMessage,
    ): ReadonlyMap<string, LenderPool> {
        if (message.type === "view") {
            return new Map([...pools].map(([key, pool]) => [key, this.#applyAssignment(pool)]));
        }
        const key = buildPoolKey(message.pool.service, message.pool.dataCentre);
        const known = pools.get(key) ?? { ...message.pool, state: { assignments: [], loan: undefined } };
        const pool = this.#applyAssignment(known);
        const result = this.#apply(pool.state, this.#makeEvent(pool, message.request));
        const { reason, slots, deadline } = result.reply ?? { reason: "not-lender", slots: {}, deadline: 0 };
        this.#context.metrics.count("lease_events_total", { reason: `lend-${reason}` });
        message.resolve({
            granted: reason === "granted",
            slots: Object.entries(slots).map(([target, count]) => ({ target: Number(target), slots: count })),
            remainingMs: Math.max(0, Math.floor(deadline - this.#context.getNow())),
            reason,
        });
        return new Map([...pools, [key, { ...pool, state: result.state }]]);
    }

    #recordFirstList(): void {
        const view = this.#context.getView();
        if (view.instances.instances.length > 0) {
            this.#firstAdoptedAt ??= view.instancesAdoptedAt;
        }
    }

    #applyAssignment(pool: LenderPool): LenderPool {
        const view = this.#context.getView();
        const adoptedAt = view.instancesAdoptedAt;
        const lenders = listLenders(view, pool.service, pool.dataCentre);
        const index = lenders.indexOf(this.#context.identity.instance);
        const event: LenderEvent = {
            type: "assign",
            index,
            count: index < 0 ? 0 : lenders.length,
            from: computeAssignmentTime(
                { startedAt: this.#startedAt, adoptedAt, isFirst: adoptedAt === this.#firstAdoptedAt },
                this.#timings,
            ),
        };
        return { ...pool, state: this.#apply(pool.state, event).state };
    }

    #makeEvent(pool: PoolName, request: BorrowRequest__Output): LenderEvent {
        const owner = `${request.owner}/${request.ownerIncarnation}`;
        if (request.release) {
            return { type: "release", owner };
        }
        const { index } = this.#context.getView();
        const targets = index?.getPool(pool.service, pool.dataCentre) ?? [];
        const limits = Object.fromEntries(
            targets
                .filter(target => index?.isInService(target))
                .map(target => [String(hashName(target.name)), target.slotLimit]),
        );
        return { type: "borrow", owner, limits };
    }

    #apply(
        state: LenderState,
        event: LenderEvent,
    ): { readonly state: LenderState; readonly reply: LoanReply | undefined; } {
        return applyLenderEvent(state, event, this.#context.getNow(), this.#timings);
    }
}
