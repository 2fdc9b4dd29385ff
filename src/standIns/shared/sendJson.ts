import type { ServerResponse } from "node:http";

/** Answers with a JSON value. */
export function sendJson(response: ServerResponse, value: unknown, status = 200): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(value));
}
