import type { RawTarget } from "./rawTarget.js";
import { writeHead } from "./writeHead.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

/** Makes a raw target that answers each request after a delay in milliseconds. */
export function serveAnswer(delayMs: number): (request: RawRequest) => void {
    return ({ socket, requestId }) => {
        setTimeout(() => {
            writeHead(socket, requestId, "Response-Signature: s\r\nContent-Length: 2\r\n");
            socket.write("ok");
        }, delayMs);
    };
}
