import type { ServerResponse } from "node:http";

/** Ends a response with a JSON value as its body. */
export function sendJson(response: ServerResponse, value: unknown, status = 200): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(value));
}
