import { type AddressInfo, createServer } from "node:net";

/** Finds free ports, different from each other. */
export async function findPorts(count: number): Promise<readonly number[]> {
    const servers = await Promise.all(Array.from({ length: count }, async () => {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, resolve));
        return server;
    }));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
