import test from "ava";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import type { LogSink } from "../../src/router/logSink.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createIngress } from "../testing/router/createIngress.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";

const REQUEST = "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 1\r\n\r\nx";
const GARBAGE = "\0\0 no request\r\n\r\n";
const ANSWER_MS = 200;
const PATIENCE_MS = 3000;

async function readAll(socket: Socket): Promise<string> {
    let received = "";
    socket.on("data", data => received += data.toString());
    await once(socket, "close");
    return received;
}

// The connection was closed without an answer, although no target had got the request.
test("unexpected error: refuses the request that caused it, as not executed", async t => {
    const { port } = await createIngress(t, () => {
        throw new Error("unexpected");
    });
    const socket = connect(port, "127.0.0.1");
    socket.write(REQUEST.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    t.regex(await readAll(socket), /^HTTP\/1\.1 503 .*Retry-After: /s);
});

// Status 400 was written in place of the answer that was due, and the connection ended.
test("malformed next request: answers the request before it on the connection first", async t => {
    const { port } = await createIngress(t, ({ response }) => {
        setTimeout(() => response.end("answer"), ANSWER_MS);
    });
    const socket = connect(port, "127.0.0.1");
    socket.write(REQUEST);
    setTimeout(() => socket.write(GARBAGE), ANSWER_MS / 4);
    t.regex(await readAll(socket), /^HTTP\/1\.1 200 .*answer.*HTTP\/1\.1 400 /s);
});

// Nothing caught an error in reading a body, so that its request was neither answered nor refused.
test("unexpected error in reading a body: refuses the request, as not executed", async t => {
    const { port } = await createIngress(t, () => t.fail("served"), {
        getLimits: () => {
            throw new Error("unexpected");
        },
    });
    const socket = connect(port, "127.0.0.1");
    socket.write(REQUEST.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    t.regex(await readAll(socket), /^HTTP\/1\.1 503 .*Retry-After: /s);
});

// The request stayed open until its caller left, and counted towards the memory limit with what had been read.
test("body that stalls: refuses the request at its deadline, as not executed, after the answers that are due", async t => {
    const { port, ingress } = await createIngress(t, ({ response }) => {
        setTimeout(() => response.end("answer"), 2 * ANSWER_MS);
    }, {
        resolve: ({ requestId }, _path, receivedAt) => ({
            kind: "accepted",
            request: {
                ...makeRoutedRequest(),
                receivedAt,
                deadline: receivedAt + (requestId === "late" ? ANSWER_MS : PATIENCE_MS),
            },
        }),
    });
    const socket = connect(port, "127.0.0.1");
    socket.write(REQUEST + REQUEST.replace("Id: r", "Id: late").slice(0, -1));
    const received = await Promise.race([
        readAll(socket),
        new Promise<string>(resolve => setTimeout(() => resolve("open"), PATIENCE_MS)),
    ]);
    t.regex(received, /^HTTP\/1\.1 200 .*answer.*HTTP\/1\.1 408 .*Connection: close/s);
    t.is(ingress.openRequests, 0);
});

// Only refusals by the headers were counted, and nothing told of a caller that left while its request was read.
test("counts each refusal, and logs a caller that leaves before its request has been read", async t => {
    const reasons: string[] = [];
    const events: string[] = [];
    const { port, ingress } = await createIngress(t, () => t.fail("served"), {
        getLimits: () => ({
            maxHeaderBytes: 16_384,
            maxBodyBytes: 0,
            headerTimeoutMs: 3000,
            idleTimeoutMs: 15_000,
            tokensPerSecond: 0,
        }),
        onRefused: reason => reasons.push(reason),
        log: {
            write: (event: string, fields: { readonly outcome?: string; }) =>
                events.push(`${event} ${fields.outcome ?? ""}`),
        } as unknown as LogSink,
    });
    const refused = connect(port, "127.0.0.1");
    refused.write(REQUEST.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    t.regex(await readAll(refused), /^HTTP\/1\.1 413 /);
    t.deepEqual(reasons, ["body-too-large"]);
    const left = connect(port, "127.0.0.1");
    left.write(REQUEST.slice(0, -1));
    await waitUntil("the head has been read", () => ingress.openRequests === 1);
    left.resetAndDestroy();
    await waitUntil("the caller is gone", () => ingress.openRequests === 0);
    t.true(events.includes("request-ended caller-left-unserved"), events.join());
});
