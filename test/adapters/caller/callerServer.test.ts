import test from "ava";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import { text as readText } from "node:stream/consumers";
import { RequestError } from "../../../src/core/errors/requestError.js";
import { startCallerServer } from "../../helpers/startCallerServer.js";

type Send = Awaited<ReturnType<typeof startCallerServer>>["send"];

const result = { target: "target-0", status: 200, cost: 1, attempts: 1 };
const chat = JSON.stringify({ model: "model-desk", stream: true, max_tokens: 10, messages: [] });

test("responds to every request that cannot be executed with a problem document and counts it", async t => {
    const { send, takeFinished } = await startCallerServer(t);
    const path = "/v1/chat/completions";
    const cases: readonly [Parameters<Send>, number, string][] = [
        [["POST", path, chat, { authorization: "" }], 401, "unauthenticated"],
        [["POST", path, chat, { authorization: "Bearer x" }], 401, "unauthenticated"],
        [["POST", path, '{"model":'], 400, "malformed-request"],
        [["POST", path, "null"], 400, "malformed-request"],
        [["POST", path, '{"model":7}'], 400, "malformed-request"],
        [["POST", path, '{"model":"order-book"}'], 404, "unknown-service"],
        [["GET", path], 405, "method-not-allowed"],
        [["PUT", "/v1/entries"], 405, "method-not-allowed"],
        [["GET", "/nothing"], 404, "unknown-route"],
        [["GET", "/services/none/"], 404, "unknown-service"],
        [["GET", "/services/constructor"], 404, "unknown-service"],
        [["GET", "/services/secret/"], 403, "service-forbidden"],
        [["POST", "/services/order-book/", "x".repeat(1001)], 413, "body-too-large"],
        [
            ["POST", path, "x".repeat(9000), { "transfer-encoding": "chunked" }],
            413,
            "body-too-large",
        ],
        [["POST", path, chat, { "x-deadline-ms": "-5" }], 400, "malformed-deadline"],
        [
            ["POST", path, chat, { "idempotency-key": "k".repeat(300) }],
            400,
            "malformed-idempotency-key",
        ],
    ];
    for (const [args, status, code] of cases) {
        const response = await send(...args);
        const problem = JSON.parse(response.body) as Record<string, unknown>;
        t.like(problem, { status, code, outcome: "not-run" }, `${args[0]} ${args[1]}`);
        t.is(response.status, status);
        t.is(response.headers["content-type"], "application/problem+json");
        t.is(response.headers["x-request-id"], problem["requestId"] as string);
        t.is((await takeFinished()).error?.code, code as "unauthenticated");
    }
});

test("responds to malformed HTTP and oversized headers and keeps serving", async t => {
    const { send, server, takeFinished } = await startCallerServer(t);
    const [host, port] = server.address.split(":");
    for (
        const [bytes, code] of [
            ["\x16\x03\x01garbage\r\n\r\n", "malformed-request"],
            [`GET / HTTP/1.1\r\nhost: a\r\nx: ${"y".repeat(20_000)}\r\n\r\n`, "headers-too-large"],
            ["POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", "malformed-request"],
        ] as const
    ) {
        const socket = connect(Number(port), host);
        socket.write(bytes);
        const response = await readText(socket);
        t.regex(response, new RegExp(`"code":"${code}"`));
        t.is((await takeFinished()).error?.code, code);
    }
    t.is((await send("GET", "/services/order-book/a")).status, 200);
});

test("counts a caller that disconnects within a body and leaves no request in flight", async t => {
    const { open, received, server, takeFinished } = await startCallerServer(t);
    const outgoing = open("POST", "/services/order-book/", { "content-length": "100" });
    outgoing.write("half", () => outgoing.destroy());
    t.is((await takeFinished()).error?.code, "request-incomplete");
    t.is(received.length, 0);
    await server.drain();
});

test("forwards the caller's headers without the key, hop-by-hop and reserved headers", async t => {
    const { received, send } = await startCallerServer(t);
    await send("POST", "/services/order-book/a/b?c=d", "x", {
        "connection": "close, x-private",
        "x-private": "1",
        "x-fencing-number": "99",
        "x-request-id": "mine",
        "idempotency-key": "key-1",
        "x-deadline-ms": "1000",
        "x-note": "kept",
        "te": "trailers",
    });
    t.is(received[0]?.path, "/a/b?c=d");
    t.is(received[0]?.idempotencyKey, "key-1");
    t.deepEqual(received[0]?.headers, { "x-note": "kept" });
    const { deadline = 0, receivedAt = 0 } = received[0] ?? {};
    t.is(Math.round(deadline - receivedAt), 1000);
});

test("ends a failed event stream with an error event and cuts off any other failed response", async t => {
    for (const type of ["text/event-stream", "text/plain"]) {
        const { send } = await startCallerServer(t, {
            execute: (_request, writer) => {
                writer.writeHead(200, { "content-type": type });
                writer.write(Buffer.from('data: {"index":0}\n\n'));
                return Promise.reject(
                    RequestError.create("answer-truncated", "cut", { outcome: "unknown" }),
                );
            },
        });
        const response = send("POST", "/v1/chat/completions", chat);
        if (type === "text/plain") {
            await t.throwsAsync(response);
            continue;
        }
        const { body } = await response;
        t.regex(body, /event: error\ndata: \{"error":\{.*"outcome":"unknown"/);
        t.notRegex(body, /\[DONE\]/);
    }
});

test("reports an unexpected exception as an internal error with unknown outcome", async t => {
    const { send } = await startCallerServer(t, {
        execute: () => Promise.reject(new TypeError("fault")),
    });
    const response = await send("POST", "/v1/chat/completions", chat);
    t.like(JSON.parse(response.body), { code: "internal-error", outcome: "unknown" });
});

test("aborts the execution when the caller disconnects", async t => {
    const { open, takeFinished } = await startCallerServer(t, {
        execute: (_request, _writer, signal) =>
            new Promise((_, reject) => {
                outgoing.destroy();
                signal.addEventListener("abort", () => {
                    reject(RequestError.create("caller-disconnected", "left", { outcome: "unknown" }));
                });
            }),
    });
    const outgoing = open("POST", "/v1/chat/completions");
    outgoing.end(chat);
    t.is((await takeFinished()).error?.code, "caller-disconnected");
});

test("applies backpressure to the writer until a slow caller has read", async t => {
    const chunk = Buffer.alloc(65_536, "x");
    let written = 0;
    const { open } = await startCallerServer(t, {
        execute: async (_request, writer) => {
            writer.writeHead(200, {});
            do {
                written += chunk.length;
            }
            while (writer.write(chunk));
            await new Promise<void>(resolve => {
                writer.onDrain(resolve);
                void once(outgoing, "response").then(([incoming]) => (incoming as IncomingMessage).resume());
            });
            writer.end();
            return result;
        },
    });
    const outgoing = open("POST", "/v1/chat/completions");
    outgoing.end(chat);
    const [incoming] = await once(outgoing, "response") as [IncomingMessage];
    await once(incoming, "end");
    t.true(written >= chunk.length);
});
