import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { waitUntil } from "../../../src/testing/waitUntil.js";
import { startCallerServer } from "../../helpers/startCallerServer.js";

const ANSWER_MS = 200;
const REQUEST = "GET /services/order-book/ HTTP/1.1\r\nhost: h\r\nauthorization: Bearer capel-key\r\n\r\n";
const GARBAGE = "\0\0 no request\r\n\r\n";

// Status 400 was written in place of the answer that was due, and the connection ended.
test.failing("malformed next request: answers the request before it on the connection first", async t => {
    const { server } = await startCallerServer(t, {
        execute: async (_request, writer) => {
            await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
            writer.writeHead(200, { "content-type": "text/plain" });
            writer.write(Buffer.from("answer"));
            writer.end();
            return { target: "target-0", status: 200, cost: 1, attempts: 1 };
        },
    });
    const [host, port] = server.address.split(":");
    const socket = connect(Number(port), host);
    let received = "";
    socket.on("data", data => received += data.toString());
    socket.write(REQUEST);
    setTimeout(() => socket.write(GARBAGE), ANSWER_MS / 4);
    await once(socket, "close");
    t.regex(received, /^HTTP\/1\.1 200 .*answer.*HTTP\/1\.1 400 /s);
});

// Node.js emits `close` only for the response whose turn it is, so that a planned stop waited for those behind it for ever.
test.failing("caller that leaves: no pipelined request stays in flight", async t => {
    const signals: AbortSignal[] = [];
    const { server } = await startCallerServer(t, {
        execute: (_request, _writer, signal) => {
            signals.push(signal);
            return new Promise((_, reject) =>
                signal.addEventListener("abort", () => reject(new Error("left")))
            );
        },
    });
    const [host, port] = server.address.split(":");
    const socket = connect(Number(port), host);
    socket.write(REQUEST + REQUEST);
    await waitUntil("the requests are executed", () => signals.length === 2);
    socket.destroy();
    await waitUntil("both are aborted", () => signals.every(({ aborted }) => aborted));
    await server.drain();
    t.pass();
});
