import type { CallerExchange } from "./callerExchange.js";
import { CallerResponse } from "./callerResponse.js";
import type { RouterOptions } from "./routerOptions.js";

interface Refusal {
    readonly status: number;
    readonly reason: string;
    readonly retryAfterMs: number;
}

/** Refuses a request that has been read completely and not been forwarded. */
export function refuseExchange(
    { request: { requestId }, response }: CallerExchange,
    { status, reason, retryAfterMs }: Refusal,
    { wire, log, metrics }: Pick<RouterOptions, "wire" | "log" | "metrics">,
): void {
    log.write("request-refused", { request: requestId, status, reason, retryAfterMs });
    metrics.countRefusal(reason);
    CallerResponse.create({ response, wire, requestId }).sendLocalResponse(status, retryAfterMs);
}
