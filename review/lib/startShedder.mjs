import { createServer } from "node:http";

const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/**
 * Starts a stand-in of a model server that turns requests away while all its slots are taken, and those that are larger than
 * its memory, as the pages show it: status 503 with `Not-Executed`, on a connection that stays open. While `isFaulty` returns
 * true, it answers some of these requests twice, up to a share of its answers; the extra answer arrives late, where the next
 * answer on the connection is expected.
 */
export async function startShedder(
    { id, service, zone, slots, memoryTokens, events, eventMs, isFaulty, maxExtraShare, record },
) {
    let running = 0;
    let answers = 0;
    let extras = 0;
    /** Connections on which an extra answer is due. */
    const pending = new WeakSet();
    const server = createServer((request, response) => {
        request.resume();
        const { headers, socket } = request;
        const requestId = headers["request-id"];
        if (headers["expect-instance"] !== id) {
            response.writeHead(421, { "Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        answers += isFaulty() ? 1 : 0;
        if (pending.delete(socket) && isFaulty()) {
            record("server-sends-extra-answer", { server: id, before: requestId });
            socket.write(REFUSAL);
        }
        const tokens = String(headers["token-usage"]).split(",").reduce((sum, part) => sum + Number(part), 0);
        if (running >= slots || tokens > memoryTokens) {
            const hasExtra = isFaulty() && extras + 1 <= answers * maxExtraShare;
            extras += hasExtra ? 1 : 0;
            record("server-sheds", { server: id, request: requestId, hasExtra });
            response.writeHead(503, { "Not-Executed": "1", "Content-Length": 0 }).end();
            if (hasExtra) {
                pending.add(socket);
            }
            return;
        }
        running += 1;
        record("server-runs", { server: id, request: requestId });
        response.on("close", () => {
            running -= 1;
            clearInterval(timer);
        });
        response.writeHead(200, {
            "Request-Id": requestId,
            "Response-Signature": `${requestId}.${id}`,
            "Content-Type": "text/event-stream",
        });
        let event = 0;
        const timer = setInterval(() => {
            event += 1;
            response.write(`id: ${event}\ndata: piece ${event}\n\n`);
            if (event >= events) {
                clearInterval(timer);
                response.end();
            }
        }, eventMs);
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", socket => socket.on("error", () => undefined));
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
        /** Share of the answers in the faulty period that came twice, or were to. */
        getExtraShare: () => extras / Math.max(1, answers),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
