import { createServer } from "node:http";

/**
 * Starts a stand-in of a model server. A stream has `events` events, one each `eventMs`, whose ids increase by `idStep`, and
 * goes on after the event that `Last-Event-Id` names. `record` gets a line for each request that runs.
 */
export async function startEngine(
    { id, service, zone, version, slots, events, eventMs, idStep = 1, isFramed = true, record },
) {
    const sockets = new Set();
    let runningVersion = version;
    let born = Date.now();
    const server = createServer((request, response) => {
        request.resume();
        const { headers } = request;
        const requestId = headers["request-id"];
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
            response.writeHead(421, { "Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        if (request.method !== "POST") {
            response.writeHead(200, { "Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        let event = Number(headers["last-event-id"] ?? 0);
        const ownVersion = runningVersion;
        record("server-runs", {
            server: id,
            version: ownVersion,
            request: requestId,
            lastEventId: event,
        });
        if (!isFramed) {
            // Neither a length nor chunks: the stream ends with its connection.
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        response.writeHead(200, {
            "Request-Id": requestId,
            "Response-Signature": `${requestId}.${id}`,
            "Content-Type": "text/event-stream",
        });
        response.flushHeaders();
        const timer = setInterval(() => {
            event += idStep;
            response.write(`id: ${event}\ndata: piece ${event} of version ${ownVersion}\n\n`);
            if (event >= events * idStep) {
                clearInterval(timer);
                response.end();
            }
        }, eventMs);
        response.on("close", () => clearInterval(timer));
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address();
    return {
        id,
        /** Entry of the server in the store. */
        describeEntry: () => ({
            service,
            address: `127.0.0.1:${port}`,
            zone,
            version: runningVersion,
            slots,
            state: "ready",
            coldRemainingMs: 0,
            sequence: 1,
            born,
        }),
        /** Ends as a crash does: all connections are reset, and new ones are refused. */
        kill: () => {
            server.close();
            sockets.forEach(socket => socket.resetAndDestroy());
        },
        /** Crashes, and starts again after `downMs` under the same identifier and address, with a software version. */
        restart: async (nextVersion, downMs) => {
            const closed = new Promise(resolve => server.close(resolve));
            sockets.forEach(socket => socket.resetAndDestroy());
            await closed;
            await new Promise(resolve => setTimeout(resolve, downMs));
            runningVersion = nextVersion;
            born = Date.now();
            await new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
            record("server-starts-again", { server: id, version: nextVersion });
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
