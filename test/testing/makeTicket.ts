import type { RequestTicket } from "../../src/core/request/requestTicket.js";

/** Creates the ticket of a request of an account to service `desk`. */
export function makeTicket(account: string, options: Partial<RequestTicket> = {}): RequestTicket {
    return {
        requestId: "request",
        account,
        service: "desk",
        deadline: 60_000,
        hintedCost: undefined,
        excludedTargets: [],
        ...options,
    };
}
