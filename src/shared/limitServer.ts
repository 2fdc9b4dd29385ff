import type { Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { BoundedConnections } from "./boundedConnections.js";
import { DueResponses } from "./dueResponses.js";
import type { ServerConnections } from "./serverConnections.js";
import { UNREAD_REFUSAL } from "./unreadRefusal.js";

type Limits = Pick<
    Required<NonNullable<Parameters<typeof ServerConnections.create>[1]>>,
    "mayServe" | "maxRefused"
>;

/** Connections that are open until their clients have read a refusal. */
const MAX_REFUSED = 4;
/** An origin server that implements no CONNECT answers it so (RFC 9110, 9.1 and 9.3.6). */
const NO_TUNNEL = "HTTP/1.1 501 Not Implemented\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/**
 * Bounds the connections of a server for others than callers, and answers CONNECT requests, which Node.js would close without a
 * status. Returns options for its `ServerConnections`.
 *
 * @param maxOpen Number of connections that are served at once.
 */
export function limitServer(server: Server, maxOpen: number): Limits {
    const due = DueResponses.create(response => response.writableFinished);
    const connections = BoundedConnections.create({
        maxOpen,
        getNow: () => performance.now(),
        close: (socket, isUsed) => {
            if (isUsed) {
                socket.destroy();
                return;
            }
            socket.end(UNREAD_REFUSAL, () => socket.destroy());
        },
    });
    server.prependListener("request", ({ socket }, response) => {
        due.add(response);
        connections.recordRequest(socket);
        response.once("close", () => connections.recordEnd(socket));
    });
    server.on("connect", (_incoming, socket) => refuseTunnel(socket, due.findLast(socket)));
    return { mayServe: socket => connections.tryAdd(socket), maxRefused: MAX_REFUSED };
}

/** Refuses a request for a tunnel after the last response that is due. */
function refuseTunnel(socket: Duplex, last: ServerResponse | undefined): void {
    socket.on("error", () => socket.destroy());
    socket.resume();
    const refuse = (): void => {
        if (socket.writable) {
            socket.end(NO_TUNNEL);
        }
    };
    if (last) {
        last.once("close", refuse);
        return;
    }
    refuse();
}
