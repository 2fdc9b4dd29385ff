import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { writeHead } from "../testing/router/writeHead.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const HEADERS = "Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

// Their connections were closed without an answer when the process ended.
test.serial("planned stop: answers the requests of which nothing has been sent when the time is up", async t => {
    const { fleet, targets } = await createRawFleet(t, "engine", [
        ({ socket, requestId }) => writeHead(socket, requestId, HEADERS),
    ]);
    const [instance] = fleet.instances;
    if (!instance) {
        t.fail("no instance");
        return;
    }
    const served = sendToFleet(fleet, "/once/x", { "Deadline-Ms": "8000" });
    const { hostname, port } = new URL(fleet.getUrls(instance).callers);
    const unread = connect(Number(port), hostname);
    let received = "";
    unread.on("data", data => received += data.toString());
    // The time-out of its route ends after the stop.
    const head =
        `POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${fleet.key}\r\nDeadline-Ms: 8000\r\n`;
    unread.write(`${head}Request-Id: unread\r\nContent-Length: 2\r\n\r\nx`);
    await waitUntil("the target has the request", () => targets[0]?.requestIds.length === 1);
    const stopped = instance.process.stop("SIGTERM");
    await once(unread, "close");
    t.regex(received, /^HTTP\/1\.1 503 .*Request-Id: unread.*Retry-After: .*Connection: close/s);
    t.is((await served).status, 502, "a target may have run it");
    t.is(await stopped, 0);
});
