import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import { listLenders } from "../../core/lease/listLenders.js";
import type { LeaseState } from "../../transport/generated/baobabspread/peer/LeaseState.js";
import type { LeaseState__Output } from "../../transport/generated/baobabspread/peer/LeaseState.js";
import type { PoolId__Output } from "../../transport/generated/baobabspread/peer/PoolId.js";
import type { DaemonContext } from "../daemonContext.js";

interface PoolPeersOptions {
    readonly context: DaemonContext;
    readonly pool: PoolId__Output;
    readonly service: string;
    readonly dataCentre: string;
    /** Time for one call in milliseconds. */
    readonly timeoutMs: number;
    /** Called with the ledger events from the replies of peers. */
    readonly onEvent: (event: LedgerEvent) => void;
}

/** Calls from the owner of a pool to its lenders and entries. */
export class PoolPeers {
    readonly #options: PoolPeersOptions;
    readonly #borrowingFrom = new Set<string>();
    readonly #pushingTo = new Set<string>();
    readonly #pendingStates = new Map<string, () => LeaseState>();

    private constructor(options: PoolPeersOptions) {
        this.#options = options;
    }

    /** Creates the calls for one pool. */
    static create(options: PoolPeersOptions): PoolPeers {
        return new PoolPeers(options);
    }

    /** Requests the slots of the pool from every lender. */
    requestSlots(): void {
        const { context, service, dataCentre } = this.#options;
        for (const lender of listLenders(context.getView(), service, dataCentre)) {
            void this.#requestFrom(lender);
        }
    }

    /** Returns the slots to lenders; at an unreachable lender the loan ends at its deadline. */
    async releaseSlots(lenders: readonly string[]): Promise<void> {
        await Promise.allSettled(lenders.map(lender => this.#requestLoan(lender, true)));
    }

    /** Asks instances which slots they hold in the pool; a reply is awaited no longer than the lease term. */
    collectHoldings(instances: readonly string[], timeoutMs: number): void {
        for (const instance of instances) {
            void this.#readHoldings(instance, timeoutMs);
        }
    }

    /** Pushes the newest lease state to an entry; pushes that arrive while one is in flight are merged. */
    pushLease(instance: string, makeState: () => LeaseState): void {
        this.#pendingStates.set(instance, makeState);
        if (!this.#pushingTo.has(instance)) {
            void this.#push(instance);
        }
    }

    async #push(instance: string): Promise<void> {
        const { context, timeoutMs } = this.#options;
        this.#pushingTo.add(instance);
        for (
            let makeState = this.#pendingStates.get(instance);
            makeState;
            makeState = this.#pendingStates.get(instance)
        ) {
            this.#pendingStates.delete(instance);
            try {
                await context.peers.send(
                    instance,
                    "PushLease",
                    makeState() as Partial<LeaseState__Output>,
                    timeoutMs,
                );
            }
            catch {
                // The entry receives the state in the reply to its next report, or its lease expires.
                context.metrics.count("lease_events_total", { reason: "push-failed" });
            }
        }
        this.#pushingTo.delete(instance);
    }

    async #requestFrom(lender: string): Promise<void> {
        const { context, onEvent } = this.#options;
        if (this.#borrowingFrom.has(lender)) {
            return;
        }
        this.#borrowingFrom.add(lender);
        // The term of the loan counts from before the call, so that it ends here no later than at the lender.
        const sentAt = context.getNow();
        try {
            const reply = await this.#requestLoan(lender, false);
            if (!reply.granted) {
                context.metrics.count("lease_events_total", { reason: `borrow-${reply.reason}` });
                return;
            }
            const slots = (reply.slots ?? []).map(({ target, slots: count }) => [String(target), count ?? 0]);
            onEvent({
                type: "loan",
                lender,
                slots: Object.fromEntries(slots) as Readonly<Record<string, number>>,
                deadline: sentAt + reply.remainingMs,
            });
        }
        catch {
            context.metrics.count("lease_events_total", { reason: "borrow-unreachable" });
        }
        finally {
            this.#borrowingFrom.delete(lender);
        }
    }

    #requestLoan(
        lender: string,
        release: boolean,
    ): Promise<{
        readonly granted: boolean;
        readonly reason: string;
        readonly remainingMs: number;
        readonly slots: readonly { readonly target?: number; readonly slots?: number; }[];
    }> {
        const { context, pool, timeoutMs } = this.#options;
        const { instance, incarnation } = context.identity;
        const message = { pool, owner: instance, ownerIncarnation: incarnation, release };
        return context.peers.send(lender, "BorrowSlots", message, timeoutMs);
    }

    async #readHoldings(instance: string, timeoutMs: number): Promise<void> {
        const { context, pool, onEvent } = this.#options;
        try {
            const reply = await context.peers.send(instance, "ListHoldings", { pool }, timeoutMs);
            const fencingNumbers = reply.holdings.map(holding => Number(holding.fencingNumber ?? 0));
            onEvent({
                type: "holdings",
                instance,
                incarnation: reply.incarnation,
                inUse: Object.fromEntries(
                    reply.holdings.map(holding => [String(holding.target), holding.inUse ?? 0]),
                ),
                fencingNumber: Math.max(0, ...fencingNumbers),
            });
        }
        catch {
            context.metrics.count("lease_events_total", { reason: "holdings-unreachable" });
        }
    }
}
