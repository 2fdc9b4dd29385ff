import type { WaitingRequest } from "../../core/dispatch/waitingRequest.js";
import type { RequestTicket } from "../../core/request/requestTicket.js";
import type { SlotGrant } from "../../core/request/slotGrant.js";

interface Waiter {
    readonly resolve: (grant: SlotGrant) => void;
    readonly reject: (error: Error) => void;
}

interface OpenFlight {
    readonly id: number;
    /** Tokens charged so far. */
    charged: number;
    /** Charged tokens that `collectCharges` has not returned yet. */
    uncollected: number;
}

/**
 * Links the requests in the dispatcher's state to their callers. Charges are added in place, because there is one for
 * each token.
 */
export class OpenRequests {
    readonly #waiters = new Map<number, Waiter>();
    readonly #queued = new Set<number>();
    readonly #flights = new Map<SlotGrant, OpenFlight>();
    readonly #waitingByAccount = new Map<string, number>();
    #nextId = 1;

    private constructor() {}

    /** Creates a set without requests. */
    static create(): OpenRequests {
        return new OpenRequests();
    }

    /** Number of requests without a slot. */
    get waitingCount(): number {
        return this.#waiters.size;
    }

    /** Number of requests with or without a slot. */
    get count(): number {
        return this.#waiters.size + this.#flights.size;
    }

    /** Adds a request that is not in a queue yet. */
    add(ticket: RequestTicket, now: number, waiter: Waiter): WaitingRequest {
        const request = { id: this.#nextId, ticket, enqueuedAt: now };
        this.#nextId += 1;
        this.#waiters.set(request.id, waiter);
        return request;
    }

    /** True until the request is granted a slot or refused. */
    isWaiting(request: WaitingRequest): boolean {
        return this.#waiters.has(request.id);
    }

    /** Records that a request is queued; returns the number of queued requests of its account. */
    markQueued(request: WaitingRequest): number {
        this.#queued.add(request.id);
        return this.#countWaiting(request.ticket.account, 1);
    }

    /** Rejects a request; returns how many of its account remain queued, `undefined` if it was not queued. */
    refuse(request: WaitingRequest, error: Error): number | undefined {
        this.#waiters.get(request.id)?.reject(error);
        return this.#removeWaiter(request);
    }

    /** Grants a request its slot; returns how many of its account remain queued. */
    grant(request: WaitingRequest, grant: SlotGrant): number | undefined {
        this.#flights.set(grant, { id: request.id, charged: 0, uncollected: 0 });
        this.#waiters.get(request.id)?.resolve(grant);
        return this.#removeWaiter(request);
    }

    /** Adds tokens to a request in flight. */
    charge(grant: SlotGrant, tokens: number): void {
        const flight = this.#flights.get(grant);
        if (flight) {
            flight.charged += tokens;
            flight.uncollected += tokens;
        }
    }

    /** Returns the tokens charged since the last call, by request. */
    collectCharges(): ReadonlyMap<number, number> {
        const charges = new Map<number, number>();
        for (const flight of this.#flights.values()) {
            if (flight.uncollected > 0) {
                charges.set(flight.id, flight.uncollected);
                flight.uncollected = 0;
            }
        }
        return charges;
    }

    /** Removes a request in flight and returns it; `undefined` if it has already ended. */
    end(grant: SlotGrant): { readonly id: number; readonly charged: number; } | undefined {
        const flight = this.#flights.get(grant);
        this.#flights.delete(grant);
        return flight;
    }

    #removeWaiter(request: WaitingRequest): number | undefined {
        this.#waiters.delete(request.id);
        return this.#queued.delete(request.id) ? this.#countWaiting(request.ticket.account, -1) : undefined;
    }

    #countWaiting(account: string, change: number): number {
        const count = (this.#waitingByAccount.get(account) ?? 0) + change;
        if (count === 0) {
            this.#waitingByAccount.delete(account);
        }
        else {
            this.#waitingByAccount.set(account, count);
        }
        return count;
    }
}
