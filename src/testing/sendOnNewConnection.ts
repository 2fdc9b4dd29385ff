import { connect } from "node:net";
import type { OfferedRequest } from "./offeredRequest.js";

interface NewConnectionOptions {
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly bodyBytes: number;
    /** Time in milliseconds after which the caller closes its connection without an answer. @default never */
    readonly giveUpMs?: number | undefined;
}

/** Opens a connection to an address (host:port), sends one request on it, and waits until it ends. */
export function sendOnNewConnection(
    address: string,
    { path, headers, bodyBytes, giveUpMs }: NewConnectionOptions,
): Promise<OfferedRequest> {
    const [host, port] = address.split(":");
    const allHeaders = { ...headers, "Content-Length": String(bodyBytes), "Connection": "close" };
    const lines = Object.entries(allHeaders).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const sentAt = performance.now();
    return new Promise(resolve => {
        const socket = connect(Number(port), host);
        let received = "";
        let answeredAt: number | undefined;
        let error: string | undefined;
        let isGivenUp = false;
        const giveUp = (): void => {
            isGivenUp = true;
            socket.destroy();
        };
        const timer = giveUpMs === undefined ? undefined : setTimeout(giveUp, giveUpMs);
        socket.write(`POST ${path} HTTP/1.1\r\n${lines}\r\n`);
        socket.write(Buffer.alloc(bodyBytes, "x"));
        socket.on("data", data => {
            answeredAt ??= performance.now();
            received += data.toString("latin1");
        });
        socket.on("error", (cause: NodeJS.ErrnoException) => error = cause.code ?? cause.message);
        socket.on("close", () => {
            clearTimeout(timer);
            const head = received.slice(0, Math.max(0, received.indexOf("\r\n\r\n"))).toLowerCase();
            resolve({
                status: Number(head.split(" ")[1] ?? 0),
                head,
                hasRetryAfter: /\r\nretry-after: [\d.]+/.test(head),
                isGivenUp,
                error,
                ms: (answeredAt ?? performance.now()) - sentAt,
            });
        });
    });
}
