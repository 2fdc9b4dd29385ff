import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import type { RequestError } from "../../core/errors/requestError.js";
import { buildProblem } from "./buildProblem.js";

/** Responds on the raw socket to what belongs to no request that could be read, and ends the connection. */
export function respondToClientError(socket: Duplex, error: RequestError, requestId: string): void {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
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
