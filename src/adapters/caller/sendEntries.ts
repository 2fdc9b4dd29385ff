import type { IncomingMessage } from "node:http";
import { RequestError } from "../../core/errors/requestError.js";
import { listEntries } from "../../core/membership/listEntries.js";
import type { CallerResponse } from "./callerResponse.js";
import type { CallerServerOptions } from "./callerServerOptions.js";

/**
 * Responds to `GET /v1/entries`.
 *
 * @throws RequestError `method-not-allowed`.
 */
export function sendEntries(
    incoming: IncomingMessage,
    writer: CallerResponse,
    { dataCentre, entriesTermMs, getView }: CallerServerOptions,
): void {
    if (incoming.method !== "GET") {
        throw RequestError.create("method-not-allowed", "/v1/entries takes GET.");
    }
    const body = Buffer.from(JSON.stringify({
        entries: listEntries(getView(), dataCentre).map(entry => ({
            instance: entry.name,
            dataCentre: entry.dataCentre,
            address: entry.callerAddress,
        })),
        validUntil: new Date(Date.now() + entriesTermMs).toISOString(),
    }));
    writer.writeHead(200, { "content-type": "application/json", "content-length": String(body.length) });
    writer.write(body);
    writer.end();
}
