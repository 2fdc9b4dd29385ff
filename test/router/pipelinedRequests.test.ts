import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createIngress } from "../testing/router/createIngress.js";
import { makeRequestMemory } from "../testing/router/makeRequestMemory.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";

function format(id: string): string {
    return `POST /${id} HTTP/1.1\r\nHost: h\r\nRequest-Id: ${id}\r\nContent-Length: 1\r\n\r\nx`;
}

// Node.js emits `close` only for the response whose turn it is: those behind it counted as open for ever, with their bodies.
test("caller that leaves: ends the pipelined requests behind the first one, too", async t => {
    const served: string[] = [];
    const { ingress, port } = await createIngress(t, ({ head }) => served.push(head.requestId ?? ""), {
        memory: makeRequestMemory(3),
    });
    for (let i = 0; i < 3; i += 1) {
        const socket = connect(port, "127.0.0.1");
        socket.write(format("a") + format("b") + format("c"));
        await waitUntil("the requests have been read", () => ingress.openRequests === 3);
        await waitUntil("the first one is served", () => served.length === i + 1);
        socket.destroy();
        await waitUntil("the requests have ended", () => ingress.openRequests === 0);
    }
    t.deepEqual(served, ["a", "a", "a"]);
});

// The connection ended with the first response, although the second request had been forwarded.
test("last response of a connection: answers the requests behind it that were forwarded", async t => {
    const served: string[] = [];
    const { port } = await createIngress(t, ({ head, response }) => {
        served.push(head.requestId ?? "");
        response.shouldKeepAlive = false;
        setTimeout(() => response.end(`answer to ${head.requestId}`), 200);
    });
    const socket = connect(port, "127.0.0.1");
    let received = "";
    socket.on("data", data => received += data.toString());
    socket.write(format("a") + format("b"));
    await once(socket, "close");
    t.deepEqual(served.filter(id => !received.includes(`answer to ${id}`)), []);
});

// The second response waited behind the first one; requests that ran late were answered 504 instead of not being run.
test("request whose time is up before its turn: refuses it without running it", async t => {
    const served: string[] = [];
    const { port } = await createIngress(t, ({ head, response }) => {
        served.push(head.requestId ?? "");
        setTimeout(() => response.end("answer"), 300);
    }, {
        resolve: (_head, _path, receivedAt) => ({
            kind: "accepted",
            request: { ...makeRoutedRequest(), receivedAt, deadline: receivedAt + 100 },
        }),
    });
    const socket = connect(port, "127.0.0.1");
    let received = "";
    socket.on("data", data => received += data.toString());
    socket.write(format("a") + format("b"));
    await waitUntil("both are answered", () => received.split("HTTP/1.1 ").length === 3);
    socket.destroy();
    t.regex(received, /^HTTP\/1\.1 200 .*HTTP\/1\.1 503 /s);
    t.deepEqual(served, ["a"]);
});
