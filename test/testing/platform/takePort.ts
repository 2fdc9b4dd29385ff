import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";
import type { ListenAddress } from "../../../src/shared/listenAddress.js";

/** Binds a port. Returns the function that frees it, whose promise resolves when the port is free. */
export async function takePort(
    protocol: "tcp" | "udp",
    { host, port }: ListenAddress,
): Promise<() => Promise<void>> {
    if (protocol === "udp") {
        const socket = createSocket("udp4").bind(port, host);
        await once(socket, "listening");
        return async () => {
            const closed = once(socket, "close");
            socket.close();
            await closed;
        };
    }
    const server = createServer(socket => socket.destroy()).listen(port, host);
    await once(server, "listening");
    return async () => {
        const closed = once(server, "close");
        server.close();
        await closed;
    };
}
