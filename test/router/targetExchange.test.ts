import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { TargetAgent } from "../../src/router/targetAgent.js";
import { TargetExchange } from "../../src/router/targetExchange.js";

const EVENTS = 40;
const EVENT_MS = 5;
const PAUSE_MS = 50;

test("hot tenant: reads the events that arrive during a pause in one go, and reuses the connection", async t => {
    const server = createServer((_, response) => {
        let sent = 0;
        response.writeHead(200);
        const timer = setInterval(() => {
            sent += 1;
            response.write(`id: ${sent}\n\n`);
            if (sent === EVENTS) {
                clearInterval(timer);
                response.end();
            }
        }, EVENT_MS);
    });
    const agent = TargetAgent.create(5000);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        agent.destroy();
        server.close();
    });
    let connections = 0;
    server.on("connection", () => connections += 1);
    const read = (isPaused: boolean): Promise<readonly [reads: number, text: string]> =>
        new Promise((resolve, reject) => {
            let reads = 0;
            let text = "";
            let isWaiting = false;
            let lastDataAt = 0;
            const exchange: TargetExchange = TargetExchange.create({
                address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
                agent,
                order: { method: "GET", path: "/", headers: ["Host", "h"], body: undefined },
                onHead: () => undefined,
                onData: chunk => {
                    // Events of one read arrive back to back.
                    reads += performance.now() - lastDataAt > EVENT_MS / 2 ? 1 : 0;
                    lastDataAt = performance.now();
                    text += chunk.toString();
                    if (isPaused && !isWaiting) {
                        isWaiting = true;
                        exchange.pauseConnection();
                        setTimeout(() => {
                            isWaiting = false;
                            exchange.resumeConnection();
                        }, PAUSE_MS);
                    }
                },
                onEnd: () => resolve([reads, text]),
                onFail: reject,
            });
        });
    const [reads, text] = await read(true);
    t.true(reads <= EVENTS / 2, String(reads));
    t.is(text.split("\n\n").length - 1, EVENTS);
    const [, again] = await read(false);
    t.is(again, text);
    t.is(connections, 1);
});

test("disables Nagle's algorithm on pausable connections, so that a request is not held back", async t => {
    const delays: boolean[] = [];
    const server = createServer((_, response) => response.end());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = TargetAgent.create(5000);
    const socket = agent.createConnection({
        port: (server.address() as AddressInfo).port,
        host: "127.0.0.1",
        noDelay: true,
    });
    const handle = (socket as unknown as { _handle: { setNoDelay(isOn: boolean): number; }; })._handle;
    const setNoDelay = handle.setNoDelay.bind(handle);
    handle.setNoDelay = isOn => {
        delays.push(isOn);
        return setNoDelay(isOn);
    };
    await once(socket, "connect");
    t.deepEqual(delays, [true]);
    socket.destroy();
    agent.destroy();
    server.close();
});
