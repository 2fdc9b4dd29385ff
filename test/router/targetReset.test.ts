import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { TargetAgent } from "../../src/router/targetAgent.js";
import { TargetExchange } from "../../src/router/targetExchange.js";

const PAUSE_MS = 50;
const EVENT = "id: 1\ndata: x\n\n";

interface Ending {
    readonly isReset: boolean;
    /** Ends a connection on which the only event has just been written. */
    readonly end: (socket: Socket) => void;
}

function endLater(end: (socket: Socket) => void): (socket: Socket) => void {
    return socket => void setTimeout(() => end(socket), PAUSE_MS / 2);
}

const ENDINGS: Readonly<Record<string, Ending>> = {
    "is reset with the last bytes": { isReset: true, end: socket => void socket.resetAndDestroy() },
    "is reset later": { isReset: true, end: endLater(socket => void socket.resetAndDestroy()) },
    "ends in order with the last bytes": { isReset: false, end: socket => void socket.end() },
    "ends in order later": { isReset: false, end: endLater(socket => void socket.end()) },
};

/** Makes a server listen, with agents that keep connections to it and do not. */
async function openTarget(t: ExecutionContext, server: Server): Promise<{
    readonly port: number;
    readonly kept: TargetAgent;
    readonly dedicated: TargetAgent;
}> {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const [kept, dedicated] = [TargetAgent.create(5000), TargetAgent.createDedicated()];
    t.teardown(() => {
        kept.destroy();
        server.close();
    });
    return { port: (server.address() as AddressInfo).port, kept, dedicated };
}

/** Reads one response without a length, with a pause after its first bytes if `isPaused`. */
async function readResponse(
    port: number,
    agent: TargetAgent,
    isPaused: boolean,
    bodyBytes = 1,
): Promise<string> {
    return new Promise(resolve => {
        const exchange: TargetExchange = TargetExchange.create({
            address: `127.0.0.1:${port}`,
            agent,
            outgoing: {
                method: "POST",
                path: "/",
                headers: ["Host", "h"],
                body: Buffer.alloc(bodyBytes, "x"),
            },
            onHead: () => undefined,
            onData: () => {
                if (isPaused) {
                    exchange.pauseConnection();
                    setTimeout(() => exchange.resumeConnection(), PAUSE_MS);
                }
            },
            onEnd: () => resolve("complete"),
            onFail: reason => resolve(reason),
        });
    });
}

// A reset that was read together with the last bytes looked like a connection that ends in order, which completes a response
// without a length.
for (const [what, { isReset, end }] of Object.entries(ENDINGS)) {
    test(`response without a length: is ${isReset ? "broken off" : "complete"} if its connection ${what}`, async t => {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.write(`HTTP/1.1 200 OK\r\n\r\n${EVENT}`);
                setTimeout(() => {
                    socket.write(EVENT);
                    end(socket);
                }, PAUSE_MS / 5);
            });
        });
        const { port, kept, dedicated } = await openTarget(t, server);
        for (const agent of [kept, dedicated]) {
            for (const isPaused of [false, true]) {
                const outcome = await readResponse(port, agent, isPaused);
                t.is(
                    outcome,
                    isReset ? "ECONNRESET" : "complete",
                    `${String(isPaused)} ${String(agent === dedicated)}`,
                );
            }
        }
    });
}

// A part of an answer to a long upload was taken for a whole one: the target closed its side in order, and the reset came when the
// end had been read (issue 57, MIXED).
for (const bodyBytes of [60_000, 4_000_000]) {
    for (const resetAfterMs of [0, 3, 6]) {
        test(`response without a length to ${bodyBytes} unread bytes is broken off if a reset follows its end by ${resetAfterMs} ms`, async t => {
            const server = createServer({ pauseOnConnect: true }, socket => {
                socket.on("error", () => undefined);
                socket.write(`HTTP/1.1 200 OK\r\n\r\n${EVENT}`);
                socket.end();
                setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
            });
            const { port, kept, dedicated } = await openTarget(t, server);
            for (const agent of Array.from({ length: 10 }, () => [kept, dedicated]).flat()) {
                t.not(await readResponse(port, agent, false, bodyBytes), "complete");
            }
        });
    }
}

test("responses without a body leave no listeners on a kept connection", async t => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        socket.on("data", () => socket.write("HTTP/1.1 204 No Content\r\n\r\n"));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = TargetAgent.create(5000);
    t.teardown(() => {
        agent.destroy();
        server.close();
    });
    agent.on("free", (socket: Socket) => sockets.add(socket));
    const counts: number[] = [];
    for (let i = 0; i < 5; i += 1) {
        await readResponse((server.address() as AddressInfo).port, agent, false);
        counts.push(Math.max(0, ...[...sockets].map(socket => socket.listenerCount("end"))));
    }
    t.is(sockets.size, 1);
    t.is(counts.at(-1), counts[0]);
});
