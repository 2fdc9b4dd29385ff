import { RequestError } from "../../core/errors/requestError.js";
import type { RequestTicket } from "../../core/request/requestTicket.js";
import type { SlotBroker } from "../../core/request/slotBroker.js";
import type { SlotGrant } from "../../core/request/slotGrant.js";
import type { SlotResult } from "../../core/request/slotResult.js";
import type { Acknowledgement } from "../../transport/generated/baobabspread/peer/Acknowledgement.js";
import type { HoldingsReply } from "../../transport/generated/baobabspread/peer/HoldingsReply.js";
import type { HoldingsRequest__Output } from "../../transport/generated/baobabspread/peer/HoldingsRequest.js";
import type { LeaseState__Output } from "../../transport/generated/baobabspread/peer/LeaseState.js";
import type { DaemonContext } from "../daemonContext.js";
import { StaticBroker } from "../staticBroker.js";
import type { Accounting } from "./accounting.js";

interface DispatcherOptions {
    readonly context: DaemonContext;
    readonly accounting: Accounting;
}

/** Queues requests and gives them slots under the leases that this daemon holds. */
export class Dispatcher implements SlotBroker {
    readonly #context: DaemonContext;
    readonly #broker: StaticBroker;
    #leaving = false;

    private constructor(options: DispatcherOptions) {
        this.#context = options.context;
        this.#broker = StaticBroker.create(
            () => options.context.getView().index?.configuration,
            () => Math.max(1, options.context.getView().instances.instances.length),
        );
    }

    /** Creates a dispatcher with empty queues. */
    static create(options: DispatcherOptions): Dispatcher {
        return new Dispatcher(options);
    }

    acquireSlot(ticket: RequestTicket, signal: AbortSignal): Promise<SlotGrant> {
        if (this.#leaving) {
            return Promise.reject(RequestError.create("instance-leaving", "The instance is leaving."));
        }
        return this.#broker.acquireSlot(ticket, signal);
    }

    chargeTokens(_grant: SlotGrant, _tokens: number): void {}

    releaseSlot(grant: SlotGrant, _result: SlotResult): void {
        this.#broker.releaseSlot(grant);
    }

    /** Takes leases that the owner of a pool pushes. */
    handleLease(_state: LeaseState__Output): Promise<Acknowledgement> {
        return Promise.resolve({ accepted: false });
    }

    /** Tells a new owner what this daemon holds in a pool. */
    handleHoldings(_request: HoldingsRequest__Output): Promise<HoldingsReply> {
        const { instance, incarnation } = this.#context.identity;
        return Promise.resolve({ instance, incarnation, holdings: [] });
    }

    /** Ends when no request waits or is in flight; new ones are refused from now on. */
    drain(): Promise<void> {
        this.#leaving = true;
        return Promise.resolve();
    }
}
