import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

interface UpgradeRequestsOptions {
    /** Lists the responses that are due on a connection, in order. */
    readonly listDue: (socket: Socket) => readonly ServerResponse[];
    /** Reads requests from a connection, with what has been pushed back onto it. */
    readonly serve: (socket: Socket) => void;
}

/**
 * Requests with `Upgrade`, which is ignored (RFC 9110, 7.8). The parser of Node.js ends behind such a request and drops what has
 * been read with it, so that the request is read again without the header.
 */
export class UpgradeRequests {
    readonly #options: UpgradeRequestsOptions;

    private constructor(options: UpgradeRequestsOptions) {
        this.#options = options;
    }

    /** Handles the requests with `Upgrade` of a server, which has no other listener for them. */
    static create(server: Server, options: UpgradeRequestsOptions): UpgradeRequests {
        const requests = new UpgradeRequests(options);
        // Node.js drops header lines beyond a number, and the length of a body might be among them; their size has a limit.
        server.maxHeadersCount = 0;
        server.on(
            "upgrade",
            (incoming, socket, rest) => requests.#readAgain(server, incoming, socket as Socket, rest),
        );
        return requests;
    }

    #readAgain(server: Server, incoming: IncomingMessage, socket: Socket, rest: Buffer): void {
        socket.unshift(Buffer.concat([formatHead(incoming), rest]));
        // Node.js has removed its listeners from the connection.
        const onError = (error: Error): void => {
            if (!server.emit("clientError", error, socket)) {
                socket.destroy();
            }
        };
        const onDrain = (): void => void this.#options.listDue(socket)[0]?.emit("drain");
        socket.on("error", onError);
        socket.on("drain", onDrain);
        this.#serveIdle(socket, () => {
            socket.off("error", onError);
            socket.off("drain", onDrain);
        });
    }

    /** Serves a connection once no response is due on it: a new parser does not know of those. */
    #serveIdle(socket: Socket, beforeServe: () => void): void {
        const { listDue, serve } = this.#options;
        const last = listDue(socket).at(-1);
        if (last) {
            last.once("close", () => this.#serveIdle(socket, beforeServe));
            return;
        }
        if (socket.destroyed || socket.writableEnded) {
            // The response before it has closed the connection.
            socket.resume();
            return;
        }
        beforeServe();
        // The idle time-out behind the response before it.
        socket.setTimeout(0);
        serve(socket);
        socket.resume();
    }
}

/** Formats the head of a request as it was read, without `Upgrade`. */
function formatHead({ method, url, httpVersion, rawHeaders }: IncomingMessage): Buffer {
    const lines = [`${method} ${url} HTTP/${httpVersion}`];
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
        if (rawHeaders[i]?.toLowerCase() !== "upgrade") {
            lines.push(`${rawHeaders[i]}: ${rawHeaders[i + 1]}`);
        }
    }
    return Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1");
}
