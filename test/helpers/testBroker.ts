import type { Target } from "../../src/core/configuration/target.js";
import { RequestError } from "../../src/core/errors/requestError.js";
import type { RequestTicket } from "../../src/core/request/requestTicket.js";
import type { SlotBroker } from "../../src/core/request/slotBroker.js";
import type { SlotGrant } from "../../src/core/request/slotGrant.js";
import type { SlotResult } from "../../src/core/request/slotResult.js";

/** Slot broker that grants the given targets in turn and records tickets, results and charged tokens. */
export class TestBroker implements SlotBroker {
    readonly #targets: readonly Target[];
    readonly tickets: RequestTicket[] = [];
    readonly results: SlotResult[] = [];
    chargedTokens = 0;
    /** Start deadline of the next grants. */
    startDeadline = Number.POSITIVE_INFINITY;

    private constructor(targets: readonly Target[]) {
        this.#targets = targets;
    }

    /** Creates a broker; after the last target it refuses with `no-target`. */
    static create(targets: readonly Target[]): TestBroker {
        return new TestBroker(targets);
    }

    acquireSlot(ticket: RequestTicket): Promise<SlotGrant> {
        const target = this.#targets[this.tickets.length];
        this.tickets.push(ticket);
        return target
            ? Promise.resolve({ ticket, target, fencingNumber: 7, startDeadline: this.startDeadline })
            : Promise.reject(RequestError.create("no-target", "No target is left."));
    }

    chargeTokens(_grant: SlotGrant, tokens: number): void {
        this.chargedTokens += tokens;
    }

    releaseSlot(_grant: SlotGrant, result: SlotResult): void {
        this.results.push(result);
    }
}
