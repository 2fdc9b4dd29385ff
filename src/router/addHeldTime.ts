import type { CallerExchange } from "./callerExchange.js";

/** Adds the time in milliseconds for which a request was held on its connection; `undefined` if it was not. */
export function addHeldTime(exchange: CallerExchange, heldMs: number | undefined): CallerExchange {
    return heldMs === undefined ? exchange : { ...exchange, request: { ...exchange.request, heldMs } };
}
