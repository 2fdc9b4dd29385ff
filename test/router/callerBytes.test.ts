import test from "ava";
import { connect } from "node:net";
import { createIngress } from "../testing/router/createIngress.js";

const CHUNK_BYTES = 65_536;
const MAX_SENT_BYTES = 2_000_000_000;
const HEAD = "POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nDeadline-Ms: 1000\r\n";

interface Form {
    readonly opening: string;
    readonly chunk: string;
}

const FORMS: Readonly<Record<string, Form>> = {
    "empty lines in place of a request": { opening: "", chunk: "\r\n".repeat(CHUNK_BYTES / 2) },
    "empty lines after a request": {
        opening: `${HEAD}Content-Length: 0\r\n\r\n`,
        chunk: "\r\n".repeat(CHUNK_BYTES / 2),
    },
    "a body without end": {
        opening: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
        chunk: `10000\r\n${"x".repeat(CHUNK_BYTES)}\r\n`,
    },
};

// The server skipped such bytes as fast as they came, which took a whole processor until the caller stopped.
for (const [what, { opening, chunk }] of Object.entries(FORMS)) {
    test(`bytes without end: closes the connection of a caller that sends ${what}`, async t => {
        t.timeout(30_000, "the connection is still being read");
        const { port } = await createIngress(t, ({ response }) => response.end("ok"));
        const sent = await new Promise<number>(resolve => {
            const socket = connect(port, "127.0.0.1");
            const write = (): void => {
                while (!socket.destroyed && socket.bytesWritten < MAX_SENT_BYTES && socket.write(chunk)) {
                    // The loop ends when the send buffer is full.
                }
            };
            socket.on("error", () => undefined);
            socket.on("data", () => undefined);
            socket.on("drain", write);
            socket.on("close", () => resolve(socket.bytesWritten));
            socket.write(opening);
            write();
        });
        t.true(sent < MAX_SENT_BYTES);
    });
}

test("bytes without end: keeps a connection that has sent more in many requests", async t => {
    const { port } = await createIngress(t, ({ response }) => response.end("ok"));
    const body = "x".repeat(900_000);
    const socket = connect(port, "127.0.0.1");
    for (let i = 0; i < 30; i += 1) {
        socket.write(`${HEAD}Content-Length: ${body.length}\r\n\r\n${body}`);
        await new Promise(resolve => socket.once("data", resolve));
    }
    await new Promise(resolve => setTimeout(resolve, 600));
    t.false(socket.destroyed);
    socket.destroy();
});
