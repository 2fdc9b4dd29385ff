import test from "ava";
import { createIngress } from "../testing/router/createIngress.js";
import { sendUnread } from "../testing/sendUnread.js";

const CALLERS = 4;
/** More than the buffers of a connection hold, so that a caller is still sending when it is refused. */
const BODY_BYTES = 12_000_000;
const HEAD = "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nConnection: close\r\n";
/** A caller waits for longer than the rest of its request may take, but not for a closed connection that never ends. */
const STALL_LIMIT_MS = 5000;

// The connection was closed with a part of the body unread, so that the kernel reset it and the caller lost the status.
test("refusal by the head: a caller that sends its whole body and then reads gets the status", async t => {
    const { port, ingress } = await createIngress(t, () => t.fail("served"), {
        resolve: () => ({ kind: "refused", status: 503, reason: "overload", retryAfterMs: 400 }),
    });
    const head = `${HEAD}Content-Length: ${BODY_BYTES}\r\n\r\n`;
    const answers = await Promise.all(
        Array.from({ length: CALLERS }, () => sendUnread(port, head, Buffer.alloc(BODY_BYTES))),
    );
    t.deepEqual(answers.filter(answer => !/^HTTP\/1\.1 503 [^]*\r\nRetry-After: 0\.40\r\n/.test(answer)), []);
    t.is(ingress.openRequests, 0);
});

// A refusal during a body was followed by the rest of the body, which must neither be buffered nor served.
test("refusal during the body: a caller that sends its whole body and then reads gets the status", async t => {
    const reasons: string[] = [];
    const { port } = await createIngress(t, () => t.fail("served"), {
        onRefused: reason => reasons.push(reason),
    });
    const head = `${HEAD}Content-Length: ${BODY_BYTES}\r\n\r\n`;
    const answer = await sendUnread(port, head, Buffer.alloc(BODY_BYTES));
    t.regex(answer, /^HTTP\/1\.1 503 [^]*\r\nRetry-After: /);
    t.deepEqual(reasons, ["memory-limit"]);
});

// Waiting for the rest of a request has a deadline, so that a caller that stops sending holds no connection.
test("refusal by the head: the connection of a caller that stops sending ends by itself", async t => {
    const { port } = await createIngress(t, () => t.fail("served"), {
        resolve: () => ({ kind: "refused", status: 404, reason: "no-route", retryAfterMs: undefined }),
    });
    const answer = await Promise.race([
        sendUnread(port, `${HEAD}Content-Length: 2\r\n\r\n`, Buffer.alloc(1)),
        new Promise<string>(resolve => setTimeout(() => resolve("open"), STALL_LIMIT_MS)),
    ]);
    t.regex(answer, /^HTTP\/1\.1 404 /);
});
