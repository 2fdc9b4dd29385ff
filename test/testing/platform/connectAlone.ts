import { once } from "node:events";
import { readFileSync } from "node:fs";
import { type AddressInfo, connect, createServer } from "node:net";

interface LoneConnection {
    /** Port that the operating system gave to the connection, on 127.0.0.1. */
    readonly port: number;
    /** Closes the connection; resolves when its port is free. */
    readonly close: () => Promise<void>;
    /** Whether the operating system has given the port to another connection since. */
    readonly isReused: () => boolean;
}

const MAX_CONNECTIONS = 500;
const HEX_DIGITS = 4;

/** Opens an outgoing connection whose local port no other connection has, open or closed in the last minute (TIME-WAIT). */
export async function connectAlone(): Promise<LoneConnection> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    for (let i = 0; i < MAX_CONNECTIONS; i += 1) {
        const accepted = once(server, "connection");
        const connection = connect((server.address() as AddressInfo).port, "127.0.0.1").resume();
        const [socket] = await accepted as [typeof connection];
        const close = async (): Promise<void> => {
            const closed = once(connection, "close");
            // This end is not the first to close, so that its port is free at once.
            socket.end();
            await closed;
        };
        const port = socket.remotePort ?? 0;
        if (countUses(port) === 1) {
            server.close();
            return { port, close, isReused: () => countUses(port) > 0 };
        }
        await close();
    }
    throw new Error("Each port that the operating system gave has another use.");
}

/** Counts the connections with a local port, but not a server that listens there (state 0A). */
function countUses(port: number): number {
    const digits = port.toString(16).toUpperCase().padStart(HEX_DIGITS, "0");
    const local = new RegExp(`^ *\\d+: [0-9A-F]{8}:${digits} [0-9A-F]{8}:[0-9A-F]{4} (?!0A)`, "u");
    return readFileSync("/proc/net/tcp", "utf8").split("\n").filter(line => local.test(line)).length;
}
