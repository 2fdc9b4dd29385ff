import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { RequestError } from "../../core/errors/requestError.js";
import { buildProblem } from "./buildProblem.js";

/** Responds on the raw socket to a request that the HTTP parser rejected, closes it and returns the error. */
export function respondToClientError(
    socket: Duplex,
    code: string | undefined,
    requestId: string,
): RequestError {
    const error = describeClientError(code);
    if (socket.writable) {
        const problem = buildProblem(error, requestId);
        const body = JSON.stringify(problem);
        socket.end([
            `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status] ?? ""}`,
            "content-type: application/problem+json",
            `content-length: ${Buffer.byteLength(body)}`,
            "connection: close",
            "",
            body,
        ].join("\r\n"));
    }
    else {
        socket.destroy();
    }
    return error;
}

function describeClientError(code: string | undefined): RequestError {
    if (code === "HPE_HEADER_OVERFLOW") {
        return RequestError.create("headers-too-large", "The headers are too large.");
    }
    if (code === "ERR_HTTP_REQUEST_TIMEOUT" || code === "ECONNRESET" || code === "HPE_INVALID_EOF_STATE") {
        return RequestError.create("request-incomplete", "The request did not arrive completely.");
    }
    return RequestError.create("malformed-request", "The request is not valid HTTP.");
}
