import type { RequestTicket } from "../../src/core/request/requestTicket.js";

/** A request of an account for service `desk`. */
export function makeTicket(account: string, options: Partial<RequestTicket> = {}): RequestTicket {
    return {
        requestId: "request",
        account,
        service: "desk",
        deadline: 60_000,
        hintedCost: undefined,
        avoidTargets: [],
        ...options,
    };
}
