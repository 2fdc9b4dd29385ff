import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { ClaimTicket } from "./claimTicket.js";

/** Claims the idempotency keys of non-repeatable requests. */
export interface KeyClaimer {
    /**
     * Claims the key of a request, or a new one if the caller sent none.
     *
     * @throws RequestError when the key is malformed, claimed or already run, or too few holders grant it.
     */
    claim(request: CallerRequest): Promise<ClaimTicket>;
}
