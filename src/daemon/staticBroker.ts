import type { Configuration } from "../core/configuration/configuration.js";
import { RequestError } from "../core/errors/requestError.js";
import type { RequestTicket } from "../core/request/requestTicket.js";
import type { SlotBroker } from "../core/request/slotBroker.js";
import type { SlotGrant } from "../core/request/slotGrant.js";

interface Waiter {
    readonly ticket: RequestTicket;
    readonly resolve: (grant: SlotGrant) => void;
}

/** Gives out a fixed part of each target's slots, first come, first served. */
export class StaticBroker implements SlotBroker {
    readonly #getConfiguration: () => Configuration | undefined;
    readonly #countInstances: () => number;
    readonly #inUse = new Map<string, number>();
    readonly #waiters: Waiter[] = [];

    private constructor(getConfiguration: () => Configuration | undefined, countInstances: () => number) {
        this.#getConfiguration = getConfiguration;
        this.#countInstances = countInstances;
    }

    /** Creates a broker that reads the configuration and the number of instances at each decision. */
    static create(
        getConfiguration: () => Configuration | undefined,
        countInstances: () => number,
    ): StaticBroker {
        return new StaticBroker(getConfiguration, countInstances);
    }

    acquireSlot(ticket: RequestTicket, signal: AbortSignal): Promise<SlotGrant> {
        return new Promise((resolve, reject) => {
            const waiter = { ticket, resolve };
            this.#waiters.push(waiter);
            signal.addEventListener("abort", () => {
                const index = this.#waiters.indexOf(waiter);
                if (index >= 0) {
                    this.#waiters.splice(index, 1);
                    reject(
                        RequestError.create("caller-disconnected", "The caller left before a slot was free."),
                    );
                }
            });
            this.#dispatch();
        });
    }

    chargeTokens(): void {
        // The static policy keeps no counters.
    }

    releaseSlot(grant: SlotGrant): void {
        this.#inUse.set(grant.target.name, this.#countInUse(grant.target.name) - 1);
        this.#dispatch();
    }

    #countInUse(target: string): number {
        return this.#inUse.get(target) ?? 0;
    }

    #dispatch(): void {
        const targets = this.#getConfiguration()?.targets ?? [];
        for (const waiter of [...this.#waiters]) {
            const target = targets.find(candidate =>
                candidate.service === waiter.ticket.service
                && this.#countInUse(candidate.name) < Math.floor(candidate.slotLimit / this.#countInstances())
            );
            if (!target) {
                continue;
            }
            this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
            this.#inUse.set(target.name, this.#countInUse(target.name) + 1);
            waiter.resolve({
                ticket: waiter.ticket,
                target,
                fencingNumber: 0,
                startDeadline: waiter.ticket.deadline,
            });
        }
    }
}
