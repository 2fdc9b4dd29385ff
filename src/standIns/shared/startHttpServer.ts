import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";

/**
 * Starts an HTTP server on a free port of the loopback address and prints its address as one JSON line. Each response
 * repeats the `x-request-id` of its request.
 */
export async function startHttpServer(name: string, listener: RequestListener): Promise<Server> {
    const server = createServer((request, response) => {
        const requestId = request.headers["x-request-id"];
        if (requestId !== undefined) {
            response.setHeader("x-request-id", requestId);
        }
        void listener(request, response);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({ event: "listening", name, address: `127.0.0.1:${port}` })}\n`);
    return server;
}
