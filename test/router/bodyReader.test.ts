import test from "ava";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createIngress } from "../testing/router/createIngress.js";
import { makeRequestMemory } from "../testing/router/makeRequestMemory.js";

const HELD_BYTES = 8192;
/** What a configuration without `maxBodyBytes` allows. */
const MAX_BODY_BYTES = 4_194_304;
/** Longer than a body must be without progress before it is ended for others. */
const STALL_MS = 800;

interface Caller {
    readonly socket: Socket;
    readonly getResponse: () => string;
}

async function startBody(port: number, body: string): Promise<Caller> {
    const socket = connect(port, "127.0.0.1");
    let response = "";
    socket.on("data", data => response += data.toString());
    socket.on("error", () => undefined);
    await once(socket, "connect");
    socket.write("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    socket.write(formatChunk(body));
    return { socket, getResponse: () => response };
}

function formatChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

// Guards against stalled bodies that fill the memory for bodies and keep ordinary callers out.
test("while memory is short, ends the body that holds most and progresses least, and reads the one that arrives", async t => {
    const budgetBytes = 3.5 * HELD_BYTES;
    const memory = makeRequestMemory(budgetBytes);
    const bodies: string[] = [];
    const { port } = await createIngress(t, ({ body, response }) => {
        bodies.push(String(body));
        response.end();
    }, { memory });
    const small = await startBody(port, "s".repeat(HELD_BYTES / 4));
    const large = await startBody(port, "l".repeat(2 * HELD_BYTES));
    await sleep(STALL_MS);
    const ordinary = await startBody(port, "o".repeat(2 * HELD_BYTES));
    ordinary.socket.write("0\r\n\r\n");
    await waitUntil("the ordinary caller is served", () => ordinary.getResponse().includes(" 200 "));
    t.deepEqual(bodies, ["o".repeat(2 * HELD_BYTES)]);
    t.regex(large.getResponse(), /^HTTP\/1.1 503 .*\r\nRetry-After: 0.50\r\n/isu);
    t.regex(large.getResponse(), /\r\nConnection: close\r\n/iu);
    small.socket.write("0\r\n\r\n");
    await waitUntil("the small body is served", () => small.getResponse().includes(" 200 "));
    await waitUntil("all memory is given back", () => memory.budget.usedBytes === 0);
    [small, large, ordinary].forEach(({ socket }) => socket.destroy());
});

// Guards against bodies that stop before their end and stay open, and against a limit that ends slow ones.
test("ends a body of which nothing arrives for longer than the limit, also if its trailer does, and reads a slow one", async t => {
    const memory = makeRequestMemory(1_000_000);
    const { port } = await createIngress(t, ({ response }) => void response.end(), {
        memory,
        getMaxBodyIdleMs: () => 600,
    });
    const [stalled, trailing, slow] = await Promise.all([
        startBody(port, "x"),
        startBody(port, "x"),
        startBody(port, "x"),
    ]);
    trailing.socket.write("0\r\n");
    for (let i = 0; i < 20; i += 1) {
        await sleep(100);
        slow.socket.write(formatChunk("y"));
        trailing.socket.write("Field: value\r\n");
    }
    slow.socket.write("0\r\n\r\n");
    await waitUntil("the slow body is served", () => slow.getResponse().includes(" 200 "));
    t.true(stalled.getResponse().startsWith("HTTP/1.1 408 "));
    t.true(trailing.getResponse().startsWith("HTTP/1.1 408 "));
    await waitUntil("all memory is given back", () => memory.budget.usedBytes === 0);
    [stalled, trailing, slow].forEach(({ socket }) => socket.destroy());
});

// Guards against one request that declares more than any body may have, and so ends the slow bodies of others for nothing.
test("a declared length above the limit of a body ends no other body, and gets 413", async t => {
    const memory = makeRequestMemory(16_777_216);
    const { port } = await createIngress(t, ({ response }) => void response.end(), { memory });
    const slow = await startBody(port, "s".repeat(HELD_BYTES));
    await sleep(STALL_MS);
    const huge = connect(port, "127.0.0.1");
    let response = "";
    huge.on("data", data => response += data.toString());
    huge.on("error", () => undefined);
    huge.write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000000\r\n\r\n");
    huge.write("h".repeat(MAX_BODY_BYTES + 1));
    await waitUntil("the huge body is refused", () => response !== "");
    slow.socket.write("0\r\n\r\n");
    await waitUntil("the slow body is answered", () => slow.getResponse() !== "");
    t.regex(slow.getResponse(), /^HTTP\/1.1 200 /u);
    t.regex(response, /^HTTP\/1.1 413 /u);
    [slow.socket, huge].forEach(socket => socket.destroy());
});

// Guards against slow bodies that are ended for a request that finds no room even without them.
test("ends no body while that would not make enough room", async t => {
    const memory = makeRequestMemory(8 * HELD_BYTES);
    const { port } = await createIngress(t, ({ response, body }) => {
        // The first request holds its body for as long as it runs.
        if (!String(body).startsWith("r")) {
            response.end();
        }
    }, { memory });
    const running = await startBody(port, "r".repeat(4 * HELD_BYTES));
    running.socket.write("0\r\n\r\n");
    const slow = await startBody(port, "s".repeat(HELD_BYTES));
    await sleep(STALL_MS);
    const large = connect(port, "127.0.0.1");
    let response = "";
    large.on("data", data => response += data.toString());
    large.on("error", () => undefined);
    large.write(`POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: ${6 * HELD_BYTES}\r\n\r\n`);
    await waitUntil("the large body is refused", () => response !== "");
    t.regex(response, /^HTTP\/1.1 503 /u);
    slow.socket.write("0\r\n\r\n");
    await waitUntil("the slow body is answered", () => slow.getResponse() !== "");
    t.regex(slow.getResponse(), /^HTTP\/1.1 200 /u);
    [running.socket, slow.socket, large].forEach(socket => socket.destroy());
    await waitUntil("all memory is given back", () => memory.budget.usedBytes === 0);
});
