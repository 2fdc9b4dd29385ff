import { createSocket } from "node:dgram";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** What holds a port: a listener, an outgoing connection that is bound to it, or a datagram socket. */
type PortHolder = "listener" | "connection" | "datagrams";

/**
 * Takes a port of an address. Returns the function that frees it.
 *
 * @throws Error when the port is taken already.
 */
export async function takePort(holder: PortHolder, host: string, port: number): Promise<() => Promise<void>> {
    if (holder === "datagrams") {
        const socket = createSocket("udp4");
        socket.bind(port, host);
        await once(socket, "listening");
        return () => new Promise(resolve => socket.close(() => resolve()));
    }
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
    });
    const isListener = holder === "listener";
    server.listen(isListener ? port : 0, host);
    await once(server, "listening");
    if (!isListener) {
        const socket = connect({
            host,
            port: (server.address() as AddressInfo).port,
            localAddress: host,
            localPort: port,
        });
        sockets.add(socket);
        await once(socket, "connect");
        socket.on("error", () => undefined);
    }
    return () => {
        sockets.forEach(socket => socket.resetAndDestroy());
        return new Promise(resolve => server.close(() => resolve()));
    };
}
