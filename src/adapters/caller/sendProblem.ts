import type { ServerResponse } from "node:http";
import type { RequestError } from "../../core/errors/requestError.js";
import { statusOfRefusal } from "./statusOfRefusal.js";

/** Answers a failed request with a problem document (RFC 9457). */
export function sendProblem(response: ServerResponse, error: RequestError, requestId: string): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    if (error.retryAfterSeconds !== undefined) {
        response.setHeader("retry-after", String(error.retryAfterSeconds));
    }
    response.writeHead(statusOfRefusal[error.code], { "content-type": "application/problem+json" });
    response.end(JSON.stringify({
        type: "about:blank",
        title: error.message,
        status: statusOfRefusal[error.code],
        code: error.code,
        outcome: error.outcome,
        requestId,
    }));
}
