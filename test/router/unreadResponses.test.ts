import test from "ava";
import { EventEmitter, once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { UnreadResponses } from "../../src/router/unreadResponses.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createIngress } from "../testing/router/createIngress.js";
import { makeRequestMemory } from "../testing/router/makeRequestMemory.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";

const MAX_BODY_BYTES = 32_768;
/** More than the buffers of a connection take. */
const LONG_RESPONSE = Buffer.alloc(33_554_432);
const PATIENCE_MS = 500;

interface FakeResponse {
    readonly response: ServerResponse;
    readonly state: { writableEnded: boolean; writableFinished: boolean; isDestroyed: boolean; };
}

function makeResponse(writableEnded: boolean, writableFinished: boolean): FakeResponse {
    const state = Object.assign(new EventEmitter(), {
        writableEnded,
        writableFinished,
        isDestroyed: false,
        destroy: (): void => {
            state.isDestroyed = true;
        },
    });
    return { response: state as unknown as ServerResponse, state };
}

// Callers that never read held their responses for good, so that memory stayed short and nothing was served any more.
test("closes the connections of complete responses that are unread long after the deadline, if memory is short", t => {
    let isShort = false;
    let now = 0;
    const lines: object[] = [];
    const unread = UnreadResponses.create({
        getNow: () => now,
        memory: { mayTake: () => !isShort },
        getMaxBodyBytes: () => MAX_BODY_BYTES,
        log: { write: (_event, fields) => lines.push(fields) },
    });
    const [complete, open, read] = [[true, false], [false, false], [true, true]]
        .map(([isEnded = false, isFinished = false]) => makeResponse(isEnded, isFinished));
    [complete, open, read].forEach(entry => entry && unread.add(entry.response, 1000));
    now = 10_000;
    unread.check();
    t.false(complete?.state.isDestroyed);
    isShort = true;
    now = 2900;
    unread.check();
    t.false(complete?.state.isDestroyed);
    now = 3100;
    unread.check();
    t.true(complete?.state.isDestroyed);
    t.false(open?.state.isDestroyed);
    t.false(read?.state.isDestroyed);
    t.deepEqual(lines, [{ reason: "response-unread" }]);
});

// Guards against callers that never read and hold just less than all memory, so that it does not count as short while the bodies of
// others find no room.
test("closes unread responses also while the memory that is left is less than a body may have", async t => {
    const memory = makeRequestMemory(2 * MAX_BODY_BYTES);
    const { port } = await createIngress(t, ({ body, response }) => {
        response.end(String(body).startsWith("u") ? LONG_RESPONSE : undefined);
    }, {
        memory,
        getLimits: () => ({
            maxBodyBytes: MAX_BODY_BYTES,
            maxHeaderBytes: 16_384,
            headerTimeoutMs: 3000,
            idleTimeoutMs: 15_000,
            tokensPerSecond: 1000,
        }),
        resolve: (_head, _path, receivedAt) => ({
            kind: "accepted",
            request: { ...makeRoutedRequest(), receivedAt, deadline: receivedAt + PATIENCE_MS },
        }),
    });
    const open = async (body: string): Promise<ReturnType<typeof connect>> => {
        const socket = connect(port, "127.0.0.1");
        socket.on("error", () => undefined);
        await once(socket, "connect");
        socket.write(`POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        return socket;
    };
    const unread = await open("u".repeat(MAX_BODY_BYTES));
    unread.pause();
    const later = await open("u".repeat(MAX_BODY_BYTES / 2));
    later.pause();
    await waitUntil("the bodies are held", () => memory.budget.usedBytes === 1.5 * MAX_BODY_BYTES);
    await t.notThrowsAsync(waitUntil("an ordinary caller is served", async () => {
        const ordinary = await open("o".repeat(MAX_BODY_BYTES));
        const [response] = await once(ordinary, "data") as [Buffer];
        ordinary.destroy();
        return response.toString().startsWith("HTTP/1.1 200 ");
    }));
    [unread, later].forEach(socket => socket.destroy());
});
