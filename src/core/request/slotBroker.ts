import type { RequestTicket } from "./requestTicket.js";
import type { SlotGrant } from "./slotGrant.js";
import type { SlotResult } from "./slotResult.js";

/** Interface of the scheduler for the execution of requests. */
export interface SlotBroker {
    /**
     * Waits for a slot.
     *
     * @throws RequestError with outcome `not-run` when the request is refused or the signal aborts.
     */
    acquireSlot(ticket: RequestTicket, signal: AbortSignal): Promise<SlotGrant>;
    /** Charges tokens to the client account while a response streams. */
    chargeTokens(grant: SlotGrant, tokens: number): void;
    /** Returns the slot and reports how the attempt ended. */
    releaseSlot(grant: SlotGrant, result: SlotResult): void;
}
