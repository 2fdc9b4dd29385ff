import { parseMarker } from "../target/parseMarker.js";
import type { CallResult } from "./callResult.js";
import type { ExchangeOptions } from "./exchangeOptions.js";
import { sendExchange } from "./sendExchange.js";

interface CallOptions extends ExchangeOptions {
    readonly service: string;
    readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
    /** Path after the prefix, with a leading slash. */
    readonly path: string;
    /** Request body; empty for none. */
    readonly body: string;
    readonly idempotencyKey?: string;
    /** Prefix of the path; empty for a direct call to a target. @default "/services/NAME" */
    readonly prefix?: string;
}

/** Sends one call to a plain service and verifies that the response echoes exactly this call. */
export function sendCall(options: CallOptions): Promise<CallResult> {
    const expected = JSON.stringify({ method: options.method, path: options.path, body: options.body });
    return sendExchange({
        ...options,
        idempotencyKey: options.idempotencyKey,
        marker: parseMarker(decodeURIComponent(options.path) + options.body, "request"),
        path: `${options.prefix ?? `/services/${options.service}`}${options.path}`,
        verify: async response => {
            const text = await response.body.text();
            return { verdict: text === expected ? "verified" : "wrong", tokens: 0 };
        },
    });
}
