import test, { registerCompletionHandler } from "ava";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import type { RawTarget } from "../testing/router/rawTarget.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { writeHead } from "../testing/router/writeHead.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const ANSWER = "0123456789abcdef".repeat(100_000);
const ROUTES = ["/unsafe/x", "/safe/x"];

function serveAnswer(bytes: number): (request: RawRequest) => void {
    return ({ socket, requestId }) => {
        writeHead(socket, requestId, `Response-Signature: s\r\nContent-Length: ${ANSWER.length}\r\n`);
        socket.write(ANSWER.slice(0, bytes), () => {
            if (bytes < ANSWER.length) {
                socket.resetAndDestroy();
            }
        });
    };
}

// Guards against a request that has run and is answered with 502, because its answer does not fit into the buffer.
test("passes on an answer that is too long to be held", async t => {
    const { fleet, targets: [target] } = await createRawFleet(t, "plain", [serveAnswer(ANSWER.length)]);
    for (const path of ROUTES) {
        const before = target?.requestIds.length ?? 0;
        const result = await sendToFleet(fleet, path);
        t.is(result.status, 200, path);
        t.true(result.isWhole, path);
        t.true(result.body === ANSWER, path);
        t.is(target?.requestIds.length, before + 1, path);
    }
});

// Guards against a part of an answer that a caller may take for a whole one.
test("lets no long answer look whole that its target has broken off", async t => {
    const { fleet } = await createRawFleet(t, "plain", [serveAnswer(1_000_000)]);
    for (const path of ROUTES) {
        const result = await sendToFleet(fleet, path);
        t.false(result.isWhole && result.status === 200, path);
        t.true(result.body.length < ANSWER.length, path);
    }
});
