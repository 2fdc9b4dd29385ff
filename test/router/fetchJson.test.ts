import test from "ava";
import { once } from "node:events";
import { Agent, createServer } from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import { fetchJson } from "../../src/router/fetchJson.js";

const CHUNK = Buffer.alloc(65_536, " ");

test("bytes without end: fails at the size limit instead of reading a document that never ends", async t => {
    const server = createServer((_, response) => {
        response.on("drain", () => response.write(CHUNK));
        response.write(CHUNK);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = new Agent();
    t.teardown(() => {
        agent.destroy();
        server.close();
        server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    const fetched = fetchJson({ host: "127.0.0.1", port, path: "/", agent, timeoutMs: 10_000 });
    t.like(await t.throwsAsync(fetched), { code: "body-too-long" });
});

// The parser skips empty lines before a response, so that they never exceed its limit.
test("bytes without end: fails at the size limit instead of reading empty lines in place of a response", async t => {
    const server = createTcpServer(socket => {
        const write = (): void => {
            while (!socket.destroyed && socket.write("\r\n".repeat(CHUNK.length / 2))) {
                // The loop ends when the send buffer is full.
            }
        };
        socket.on("error", () => undefined);
        socket.on("drain", write);
        write();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = new Agent();
    t.teardown(() => {
        agent.destroy();
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    const fetched = fetchJson({ host: "127.0.0.1", port, path: "/", agent, timeoutMs: 10_000 });
    t.like(await t.throwsAsync(fetched), { code: "head-too-long" });
});
