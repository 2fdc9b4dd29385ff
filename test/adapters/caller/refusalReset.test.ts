import test from "ava";
import { startCallerServer } from "../../helpers/startCallerServer.js";
import { sendUnread } from "../../testing/sendUnread.js";

/** More than the buffers of a connection hold, so that a caller is still sending when it is refused. */
const BODY_BYTES = 12_000_000;
/** A caller waits for longer than the rest of its request may take, but not for a connection that never ends. */
const STALL_LIMIT_MS = 5000;

function buildHead(key: string): string {
    return `POST /services/ledger/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${key}\r\nConnection: close\r\n`
        + `Content-Length: ${BODY_BYTES}\r\n\r\n`;
}

// The connection was closed with a part of the body unread, so that the kernel reset it and the caller lost the status.
test("refusal by the head: a caller that sends its whole body and then reads gets the problem document", async t => {
    const { server, received } = await startCallerServer(t);
    const port = Number(server.address.split(":")[1]);
    const answer = await sendUnread(port, buildHead("unknown"), Buffer.alloc(BODY_BYTES));
    t.regex(answer, /^HTTP\/1\.1 401 [^]*\r\n\r\n\{.*\}$/);
    t.deepEqual(received, []);
});

// Waiting for the rest of a request has a deadline, so that a caller that stops sending holds no connection.
test("refusal by the head: the connection of a caller that stops sending ends by itself", async t => {
    const { server } = await startCallerServer(t);
    const port = Number(server.address.split(":")[1]);
    const answer = await Promise.race([
        sendUnread(port, buildHead("unknown"), Buffer.alloc(1)),
        new Promise<string>(resolve => setTimeout(() => resolve("open"), STALL_LIMIT_MS)),
    ]);
    t.regex(answer, /^HTTP\/1\.1 401 /);
});
