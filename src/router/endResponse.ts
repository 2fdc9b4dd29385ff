import type { ServerResponse } from "node:http";
import type { planRequestEnd } from "../core/routing/planRequestEnd.js";
import { abortResponse } from "../shared/abortResponse.js";
import type { WireFormat } from "./wireFormat.js";

/** Gives a caller the end that was planned for its request: an empty response of the router, or a connection that shows
 * that the response is not whole. */
export function endResponse(
    response: ServerResponse,
    wire: WireFormat,
    requestId: string | undefined,
    end: ReturnType<typeof planRequestEnd>,
): void {
    if (end.kind === "close") {
        abortResponse(response);
        return;
    }
    if (end.isLast) {
        response.shouldKeepAlive = false;
    }
    response.writeHead(end.status, {
        ...wire.buildLocalResponseHeaders(requestId, end.retryAfterMs),
        "Content-Length": "0",
    });
    response.end();
}
