import type { Socket } from "node:net";

/** Writes the head of an answer of a raw target. */
export function writeHead(
    socket: Socket,
    requestId: string,
    headers: string,
    status = "200 OK",
): void {
    socket.write(`HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\n${headers}\r\n`);
}
