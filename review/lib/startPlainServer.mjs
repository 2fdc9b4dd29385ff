import { createServer } from "node:http";

/** Starts a stand-in of a server of a plain service. `record` gets a line for each request that runs. */
export async function startPlainServer({ id, service, zone, slots, workMs, record }) {
    const server = createServer((request, response) => {
        request.resume();
        const { headers } = request;
        const requestId = headers["request-id"];
        if (headers["expect-instance"] !== id) {
            response.writeHead(421, { "Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        request.on("end", () => {
            record("server-runs", { server: id, request: requestId, tenant: headers["tenant"] });
            const body = `answer to ${requestId}`;
            setTimeout(() => {
                response.writeHead(200, {
                    "Request-Id": requestId,
                    "Response-Signature": `${requestId}.${id}`,
                    "Content-Length": body.length,
                }).end(body);
            }, workMs);
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const born = Date.now();
    return {
        id,
        /** Entry of the server in the store. */
        describeEntry: () => ({
            service,
            address: `127.0.0.1:${server.address().port}`,
            zone,
            version: "1",
            slots,
            state: "ready",
            coldRemainingMs: 0,
            sequence: 1,
            born,
        }),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
